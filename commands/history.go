package commands

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"siskincove/config"
	"siskincove/store"
)

func init() {
	register("history", "List published revisions, newest first.", &historyCommand{})
}

type historyCommand struct {
	StoreFlags `embed:""`
	Most       int `help:"How many revisions to list." default:"20"`
}

// Run prints the heads of the revisions.
func (c *historyCommand) Run(out *Output) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	heads, err := config.History(ctx, c.client(), c.Most)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return err
	}
	return out.print(heads, func(w io.Writer) {
		for _, h := range heads {
			printLine(w, "%6d  %s  %s  %.12s  %s", h.Revision, h.Time, h.Publisher, h.Hash, h.Note)
		}
	})
}
