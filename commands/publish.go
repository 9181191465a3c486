package commands

import (
	"context"
	"crypto/rand"
	"io"
	"os/user"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/config"
	"siskincove/store"
)

func init() {
	register("publish", "Check a set of objects and publish it as a new revision.", &publishCommand{})
}

type publishCommand struct {
	StoreFlags `embed:""`
	Path       string `arg:"" help:"File or directory of object files, in TOML." type:"path" predictor:"path"`
	Base       int64  `help:"Revision that the plan was made against; publishing fails if another is in force." default:"-1"`
	Note       string `help:"Why the set is published, for the history."`
}

// Run publishes the set. It fails with ExitConflict if another operator has published in the meantime.
func (c *publishCommand) Run(out *Output) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	source, problems := loadAndCheck(c.Path)
	if err := problems.Err(); err != nil {
		return &ExitError{Code: ExitInvalid, Cause: err}
	}
	current, err := readPublished(ctx, &c.StoreFlags)
	if err != nil {
		return err
	}
	if problems := config.CheckChange(current.set, source.Set); len(problems) > 0 {
		return &ExitError{Code: ExitInvalid, Cause: problems}
	}
	base := current.head.Revision
	if c.Base >= 0 {
		base = uint64(c.Base)
	}
	head, err := config.Publish(ctx, c.client(), c.client(), config.Publication{
		Set: source.Set, Publisher: publisher(), Note: c.Note, Time: time.Now().UTC().Format(time.RFC3339), Operation: rand.Text(), Base: base,
	})
	if errors.Is(err, store.ErrConflict) {
		return &ExitError{Code: ExitConflict, Cause: err}
	}
	if err != nil {
		return err
	}
	return out.print(head, func(w io.Writer) {
		printLine(w, "revision %d is in force (%s)", head.Revision, head.Hash)
	})
}

func publisher() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}
