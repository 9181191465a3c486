package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type options struct {
	Group    groupCommand    `cmd:"" help:"Runs a database group."`
	Instance instanceCommand `cmd:"" help:"Tells a running platform stand-in what its list says of an instance."`
	Relay    relayCommand    `cmd:"" help:"Relays bytes to an address, as a baseline."`
	Link     linkCommand     `cmd:"" help:"Proxies connections between instances, with delays and cuts."`
	Platform platformCommand `cmd:"" help:"Runs the platform: table, object store and list of instances."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var o options
	parsed := kong.Parse(&o, kong.Name("standin"), kong.Description("Stand-ins for what lies outside siskincove."))
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		parsed.Errorf("%v", err)
		stop()
		os.Exit(1)
	}
}
