package main

import (
	"context"
	"os"
	"os/exec"

	"github.com/cockroachdb/errors"
)

type modelCommand struct {
	Plots string `help:"Directory for the plots." default:"docs/plots" type:"path"`
}

// Run runs the simulation's parameter sweep and prints its table. The sweep is a test, since only tests have virtual time.
func (c *modelCommand) Run(ctx context.Context) error {
	command := exec.CommandContext(ctx, "go", "test", "./simulation", "-run", "TestSweep", "-v", "-count=1", "-plots", c.Plots)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	return errors.Wrap(command.Run(), "running the simulation")
}
