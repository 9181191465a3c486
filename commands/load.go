package commands

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/load"
)

func init() {
	register("load", "Run a load test against a service and check every answer. The exit code is 5 if a guarantee was violated, and 6 if one could not be verified.", &loadCommand{})
}

type loadCommand struct {
	Callers  []string      `help:"Instances' addresses for callers, IP:port." required:""`
	Health   []string      `help:"Instances' health addresses, for the replica share."`
	Caller   string        `help:"Caller's name." required:""`
	Password string        `help:"Caller's password, best given by the environment." env:"SISKINCOVE_LOAD_PASSWORD" required:""`
	Service  string        `help:"Service to load." required:""`
	Main     []string      `help:"Routes for writes and reads of own writes." required:""`
	History  []string      `help:"Routes for reads that accept age, one for each main route." required:""`
	Mix      string        `help:"What callers do: kelloviisari or pwani." enum:"kelloviisari,pwani" default:"kelloviisari"`
	Rate     float64       `help:"Operations that arrive each second." default:"200"`
	Duration time.Duration `help:"How long operations arrive." default:"10s"`
	Sessions int           `help:"Sessions." default:"30"`
	Roam     float64       `help:"Share of sessions that move each minute." default:"0.2"`
	Token    bool          `help:"Sessions bring their token along when they move."`
	Timeout  time.Duration `help:"Bound on one operation." default:"15s"`
	Probe    time.Duration `help:"Time between two probe writes to each main route; 0 runs no probe." default:"0s"`
	Seed     uint64        `help:"Seed of the random numbers." default:"1"`
	Quiet    bool          `help:"Show no progress."`
}

// Run runs the load test and prints its report.
func (c *loadCommand) Run(out *Output) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if len(c.Main) != len(c.History) {
		return &ExitError{Code: ExitInvalid, Cause: errors.New("--main and --history must have the same number of routes")}
	}
	mix, err := load.ParseMix(c.Mix)
	if err != nil {
		return &ExitError{Code: ExitInvalid, Cause: err}
	}
	var progress io.Writer = os.Stderr
	if c.Quiet {
		progress = nil
	}
	report, err := load.Run(ctx, load.Options{
		Addresses: c.Callers, Health: c.Health, Caller: c.Caller, Password: c.Password, Service: c.Service,
		Main: c.Main, History: c.History, Mix: mix, Rate: c.Rate, Duration: c.Duration, Sessions: c.Sessions,
		Roam: c.Roam, Token: c.Token, Timeout: c.Timeout, Probe: c.Probe, Seed: c.Seed, Progress: progress,
	})
	if err != nil {
		return err
	}
	if err := out.print(report, report.Print); err != nil {
		return err
	}
	return loadResult(report)
}

// loadResult returns an error if a guarantee was violated or could not be verified.
func loadResult(r load.Report) error {
	switch {
	case r.ViolationCount > 0:
		return &ExitError{Code: ExitGuaranteeViolated, Cause: errors.Newf("%d consistency violations", r.ViolationCount)}
	case r.Unverified > 0:
		return &ExitError{Code: ExitUnverified, Cause: errors.Newf("no violation, but %d sessions could not be verified", r.Unverified)}
	default:
		return nil
	}
}
