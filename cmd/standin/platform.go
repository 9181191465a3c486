package main

import (
	"context"
	"time"

	"siskincove/clock"
	"siskincove/standin/platform"
)

type platformCommand struct {
	Control string        `help:"Listening address of the protocols and the control interface, IP:port." default:"127.0.0.1:0"`
	Lag     time.Duration `help:"Delay of the list of instances behind reality." default:"5s"`
}

// Run serves the platform until a signal ends it; its first line names the address.
func (c *platformCommand) Run(ctx context.Context) error {
	server := platform.NewServer(platform.NewMemory(), clock.System{}, c.Lag)
	return serveHTTP(ctx, c.Control, server.Handler())
}
