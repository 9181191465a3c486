package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"siskincove/clock"
	"siskincove/document"
	"siskincove/event"
	"siskincove/settings"
)

const (
	exitFailure  = 1
	exitSettings = 2
)

type options struct {
	Settings string `arg:"" help:"Settings file of the instance, in TOML." type:"path" env:"SISKINCOVE_SETTINGS" optional:""`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	// A signal that comes before the instance runs is handled once it does.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	var o options
	kong.Parse(&o, kong.Name("siskincoved"), kong.Description("Runs one instance of the database proxy with session consistency."))
	s, file, problems := settings.Load(o.Settings)
	if len(problems) > 0 {
		exitInvalidSettings(problems)
	}
	if o.Check {
		return
	}
	os.Exit(run(o, s, file, signals))
}

func exitInvalidSettings(problems document.Problems) {
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	os.Exit(exitSettings)
}

func run(o options, s settings.Settings, file document.Document, signals <-chan os.Signal) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	writer := event.NewWriter(ctx, clock.System{}, os.Stdout)
	defer writer.Flush()
	logger := event.NewLogger(writer, parseLevel(s.Log), clock.System{})
	if s.Callers.Protocol == settings.ProtocolPlatform {
		return runHosted(ctx, hostedOptions{settingsFile: o.Settings, settings: s, logger: logger, signals: signals})
	}
	return runPostgres(ctx, postgresOptions{settingsFile: o.Settings, settings: s, document: file, logger: logger, signals: signals})
}
