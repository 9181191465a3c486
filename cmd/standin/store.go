package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"siskincove/standin/hosting"
)

type storeCommand struct {
	Listen string `help:"Listening address of the store and its control interface, IP:port." default:"127.0.0.1:0"`
}

// Run serves the store until a signal ends it. It first prints the address.
func (c *storeCommand) Run(ctx context.Context) error {
	s, err := hosting.ListenStore(c.Listen)
	if err != nil {
		return errors.Wrap(err, "store listener")
	}
	fmt.Println("control", s.Address())
	<-ctx.Done()
	s.Close()
	return nil
}
