package commands

import (
	"context"
	"io"

	"github.com/pelletier/go-toml/v2"

	"siskincove/config"
)

func init() {
	register("show", "Print the published set of objects, with secrets masked.", &showCommand{})
}

type showCommand struct {
	StoreFlags `embed:""`
}

type showReport struct {
	Head config.Head `json:"head"`
	Set  config.Set  `json:"set"`
}

// Run prints the published set as TOML or JSON.
func (c *showCommand) Run(out *Output) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	current, err := readPublished(ctx, &c.StoreFlags)
	if err != nil {
		return err
	}
	report := showReport{Head: current.head, Set: current.set.Masked()}
	return out.print(report, func(w io.Writer) {
		printLine(w, "# revision %d, published by %s at %s", report.Head.Revision, report.Head.Publisher, report.Head.Time)
		data, err := toml.Marshal(report.Set)
		if err == nil {
			_, _ = w.Write(data)
		}
	})
}
