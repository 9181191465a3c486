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

// gcPercent lets the heap, which is small, grow further between collections than by default: a statement allocates much
// that it needs no longer than itself.
const gcPercent = 400

// postgresRun is what an instance for the PostgreSQL protocol is run with.
type postgresRun struct {
	name     string
	settings settings.Settings
	file     document.Document
	logger   *event.Logger
	signals  <-chan os.Signal
}

func runPostgres(ctx context.Context, r postgresRun) int {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	kept := rows.New(r.settings.Store.Address)
	i, err := instance.New(ctx, r.settings, clock.System{}, r.logger, kept)
	if err != nil {
		return report(err, r.file)
	}
	reload := reloader{file: r.name, current: r.settings, clock: clock.System{}, logger: r.logger, signals: r.signals, take: func(next settings.Settings) {
		kept.Redirect(next.Store.Address)
	}}
	return leave(i, reload.wait(ctx), r.signals)
}

// leave drains the instance until that is done, its limit has passed or a second signal comes.
func leave(i *instance.Instance, s settings.Settings, signals <-chan os.Signal) int {
	ctx, cancel := context.WithTimeout(context.Background(), s.Drain.Limit.Std())
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	if left, err := i.Leave(ctx); left > 0 || err != nil {
		return exitFailure
	}
	return 0
}

func report(err error, file document.Document) int {
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
