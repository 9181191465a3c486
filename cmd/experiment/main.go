package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"siskincove/experiment"
)

type options struct {
	Latency  latencyCommand     `cmd:"" help:"Added latency and processor time beside a bare relay."`
	Failover failoverCommand    `cmd:"" help:"Time without acknowledged writes after a primary is lost, beside a naive baseline."`
	Share    shareCommand       `cmd:"" help:"Share of reads served by replicas as their lag grows, beside a naive baseline."`
	Force    propagationCommand `cmd:"" help:"Time until a published configuration is in force everywhere."`
	Overload overloadCommand    `cmd:"" help:"What is still done when more is offered than the endpoints can do."`
	Commits  commitsCommand     `cmd:"" help:"Acknowledged writes a second to one database."`
	Model    modelCommand       `cmd:"" help:"Goodput, waiting and refusals against load, of the deciding code in virtual time and of a baseline."`
	Slopes   slopesCommand      `cmd:"" help:"What one more caller, database and instance costs an instance."`
}

type propagationCommand struct {
	deploymentFlags
	Changes int `help:"Publications." default:"20"`
}

// Run runs the experiment and prints its results.
func (c *propagationCommand) Run(ctx context.Context) error {
	deployment, err := experiment.ParseDeployment(c.Deployment)
	if err != nil {
		return err
	}
	return experiment.Propagation{Deployment: deployment, Instances: c.Instances, Changes: c.Changes}.Run(ctx, os.Stdout)
}

type overloadCommand struct {
	deploymentFlags
	Rate     []float64     `help:"Operations offered each second." default:"300,600,1200,2400,300"`
	Duration time.Duration `help:"Duration at each rate." default:"6s"`
	Seed     uint64        `help:"Seed." default:"1"`
}

// Run runs the experiment and prints its results.
func (c *overloadCommand) Run(ctx context.Context) error {
	deployment, err := experiment.ParseDeployment(c.Deployment)
	if err != nil {
		return err
	}
	e := experiment.Overload{Deployment: deployment, Instances: c.Instances, Rates: c.Rate, Duration: c.Duration, Seed: c.Seed}
	return e.Run(ctx, os.Stdout)
}

type commitsCommand struct {
	deploymentFlags
	Sessions int           `help:"Sessions that write." default:"60"`
	Duration time.Duration `help:"How long they write." default:"6s"`
}

// Run runs the experiment and prints its results.
func (c *commitsCommand) Run(ctx context.Context) error {
	deployment, err := experiment.ParseDeployment(c.Deployment)
	if err != nil {
		return err
	}
	e := experiment.Commits{Deployment: deployment, Instances: c.Instances, Sessions: c.Sessions, Duration: c.Duration}
	return e.Run(ctx, os.Stdout)
}

type slopesCommand struct {
	Window   time.Duration `help:"How long an idle system is watched." default:"5s"`
	Interval time.Duration `help:"Time between status questions." default:"200ms"`
	Only     string        `help:"Vary only one: instances, databases or callers." enum:",instances,databases,callers" default:""`
}

// Run runs the experiment and prints its results.
func (c *slopesCommand) Run(ctx context.Context) error {
	return experiment.Slopes{Window: c.Window, Only: c.Only, Interval: c.Interval}.Run(ctx, os.Stdout)
}

type deploymentFlags struct {
	Deployment string `help:"Whose sizes and delays: kelloviisari or pwani." enum:"kelloviisari,pwani" default:"kelloviisari"`
	Instances  int    `help:"Instances to start." default:"15"`
}

type failoverCommand struct {
	deploymentFlags
	Losses int    `help:"Losses of each kind." default:"8"`
	Seed   uint64 `help:"Seed." default:"1"`
}

// Run runs the experiment and prints its results.
func (c *failoverCommand) Run(ctx context.Context) error {
	deployment, err := experiment.ParseDeployment(c.Deployment)
	if err != nil {
		return err
	}
	return experiment.Failover{Deployment: deployment, Instances: c.Instances, Losses: c.Losses, Seed: c.Seed}.Run(ctx, os.Stdout)
}

type shareCommand struct {
	deploymentFlags
	Rate     float64         `help:"Operations that arrive each second." default:"300"`
	Duration time.Duration   `help:"Duration of each run." default:"8s"`
	Lag      []time.Duration `help:"Apply lags of the replicas." default:"20ms,1s,30s,2m"`
	Seed     []uint64        `help:"Seeds." default:"1,2,3"`
}

// Run runs the experiment and prints its results.
func (c *shareCommand) Run(ctx context.Context) error {
	deployment, err := experiment.ParseDeployment(c.Deployment)
	if err != nil {
		return err
	}
	e := experiment.Share{Deployment: deployment, Instances: c.Instances, Rate: c.Rate, Duration: c.Duration, Lags: c.Lag, Seeds: c.Seed}
	return e.Run(ctx, os.Stdout)
}

type latencyCommand struct {
	Rounds     int    `help:"Rounds, each over all paths." default:"5"`
	Statements int    `help:"Statements of a session in a round." default:"2000"`
	Sessions   int    `help:"Sessions at once for the rate." default:"16"`
	Level      string `help:"Instances' log level." default:"info"`
}

// Run runs the experiment and prints its results.
func (c *latencyCommand) Run(ctx context.Context) error {
	e := experiment.Latency{Rounds: c.Rounds, Statements: c.Statements, Sessions: c.Sessions, Level: c.Level}
	return e.Run(ctx, os.Stdout)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var o options
	parsed := kong.Parse(&o, kong.Name("experiment"), kong.Description("Measures the whole system on the loopback interface."))
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		parsed.Errorf("%v", err)
		stop()
		os.Exit(1)
	}
}
