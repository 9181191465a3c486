package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/document"
	"siskincove/event"
	"siskincove/instance"
	"siskincove/platform/rows"
	"siskincove/settings"
)

// gcPercent lets the small heap grow further between collections than by default, since most allocations live only as long
// as one statement.
const gcPercent = 400

// postgresOptions configure an instance that serves the PostgreSQL protocol.
type postgresOptions struct {
	settingsFile string
	settings     settings.Settings
	document     document.Document
	logger       *event.Logger
	signals      <-chan os.Signal
}

func runPostgres(ctx context.Context, o postgresOptions) int {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	rowStore := rows.New(o.settings.Store.Address)
	i, err := instance.New(ctx, o.settings, clock.System{}, o.logger, rowStore)
	if err != nil {
		return reportStartError(err, o.document)
	}
	reload := reloader{file: o.settingsFile, current: o.settings, clock: clock.System{}, logger: o.logger, signals: o.signals, apply: func(next settings.Settings) {
		rowStore.Redirect(next.Store.Address)
	}}
	return drain(i, reload.wait(ctx), o.signals)
}

// drain shuts the instance down and waits until that is done, the drain limit expires or a second signal arrives. It
// returns the exit code.
func drain(i *instance.Instance, s settings.Settings, signals <-chan os.Signal) int {
	ctx, cancel := context.WithTimeout(context.Background(), s.Drain.Limit.Std())
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	if unfinished, err := i.Shutdown(ctx); unfinished > 0 || err != nil {
		return exitFailure
	}
	return 0
}

// reportStartError prints an error that prevented the start, with its line in the settings file if it concerns a setting.
// It returns the exit code.
func reportStartError(err error, file document.Document) int {
	var listen *instance.ListenError
	if errors.As(err, &listen) {
		fmt.Fprintln(os.Stderr, file.Problem(listen.Key, listen.Error()))
		return exitSettings
	}
	var certificate *instance.CertificateError
	if errors.As(err, &certificate) {
		fmt.Fprintln(os.Stderr, file.Problem(certificate.Key, certificate.Error()))
		return exitSettings
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFailure
}
