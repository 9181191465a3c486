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

// Run plays the sweep of the simulation, which needs the virtual time of a test, and prints its table.
func (c *modelCommand) Run(ctx context.Context) error {
	command := exec.CommandContext(ctx, "go", "test", "./simulation", "-run", "TestSweep", "-v", "-count=1", "-plots", c.Plots)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	return errors.Wrap(command.Run(), "model")
}
