package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type options struct {
	Group groupCommand `cmd:"" help:"Runs a database group."`
	Relay relayCommand `cmd:"" help:"Relays bytes to an address, as a baseline."`
	Link  linkCommand  `cmd:"" help:"Proxies connections between instances, with delays and cuts."`
	Store storeCommand `cmd:"" help:"Runs the platform's store of rows and objects."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var o options
	parsed := kong.Parse(&o, kong.Name("standin"), kong.Description("Runs stand-ins for the systems that siskincove depends on."))
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		parsed.Errorf("%v", err)
		stop()
		os.Exit(1)
	}
}
