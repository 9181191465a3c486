// Command experiment measures the whole system on loopback; run it from the root of the repository.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"siskincove/experiment"
)

type options struct {
	Latency latencyCommand `cmd:"" help:"Added latency and processor time beside a bare relay."`
}

type latencyCommand struct {
	Rounds     int    `help:"Rounds, each over all paths." default:"5"`
	Statements int    `help:"Statements of a session in a round." default:"2000"`
	Sessions   int    `help:"Sessions at once for the rate." default:"16"`
	Level      string `help:"Instances' log level." default:"info"`
}

// Run measures and prints.
func (c *latencyCommand) Run(ctx context.Context) error {
	l := experiment.Latency{Rounds: c.Rounds, Statements: c.Statements, Sessions: c.Sessions, Level: c.Level}
	return l.Run(ctx, os.Stdout)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var o options
	parsed := kong.Parse(&o, kong.Name("experiment"), kong.Description("Measures the whole system on loopback."))
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		parsed.Errorf("%v", err)
		stop()
		os.Exit(1)
	}
}
