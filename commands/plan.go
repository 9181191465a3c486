package commands

import (
	"context"
	"io"

	"siskincove/config"
)

func init() {
	register("plan", "Show what publishing the objects would change. The exit code is 3 if there are changes.", &planCommand{})
}

type planCommand struct {
	StoreFlags `embed:""`
	Path       string `arg:"" help:"File or directory of object files, in TOML." type:"path" predictor:"path"`
}

type planReport struct {
	Base    uint64          `json:"base"`
	Changes []config.Change `json:"changes"`
}

// Run prints how the object files differ from the published objects. It fails with ExitDiffers if they do.
func (c *planCommand) Run(out *Output) error {
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
	report := planReport{Base: current.head.Revision, Changes: config.Diff(current.set, source.Set)}
	if err := out.print(report, func(w io.Writer) { printChanges(w, report) }); err != nil {
		return err
	}
	if len(report.Changes) > 0 {
		return &ExitError{Code: ExitDiffers}
	}
	return nil
}

func printChanges(w io.Writer, report planReport) {
	printLine(w, "changes against revision %d: %d", report.Base, len(report.Changes))
	for _, c := range report.Changes {
		printLine(w, "%-6s %s %s", c.Action, c.Kind, c.Name)
		if c.Before != "" {
			printLine(w, "       before %s", c.Before)
		}
		if c.After != "" {
			printLine(w, "       after  %s", c.After)
		}
	}
}
