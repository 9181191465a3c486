package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/document"
	"siskincove/event"
	"siskincove/instance"
	"siskincove/platform/aws"
	"siskincove/platform/dynamo"
	"siskincove/platform/http"
	"siskincove/platform/s3"
	"siskincove/settings"
)

const (
	exitFailure  = 1
	exitSettings = 2
	// gcPercent lets the heap, which is small, grow further between collections than by default: a statement allocates
	// much that it needs no longer than itself.
	gcPercent = 400
)

type options struct {
	Settings string `arg:"" help:"Settings file of the instance, in TOML." type:"path"`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("siskincoved"), kong.Description("Runs one instance of the database proxy with session consistency."))
	s, file, problems := settings.Load(o.Settings)
	if len(problems) > 0 {
		refuse(problems)
	}
	if o.Check {
		return
	}
	os.Exit(run(s, file))
}

func refuse(problems document.Problems) {
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	os.Exit(exitSettings)
}

func run(s settings.Settings, file document.Document) int {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	service := clock.System{}
	level, _ := log.ParseLevel(s.Log.Level)
	writer := event.NewWriter(ctx, service, os.Stderr)
	defer writer.Flush()
	logger := event.NewLogger(writer, level, service)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	i, err := instance.New(ctx, s, service, logger, services(s.Platform))
	if err != nil {
		return report(err, file)
	}
	<-signals
	return leave(i, s, signals)
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

func services(p settings.Platform) instance.Platform {
	client := aws.HTTPClient()
	o := aws.Options{URL: p.URL, Region: p.Region, Key: p.Key, Secret: p.Secret}
	return instance.Platform{
		Table:   dynamo.New(aws.Table(o, client), p.Table),
		Objects: s3.New(aws.Objects(o, client), p.Bucket),
		Roster:  http.New(client, p.RosterURL()),
	}
}
