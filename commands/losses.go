package commands

import (
	"cmp"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/logs"
)

type lossesCommand struct {
	Interval time.Duration `help:"Length of an interval." default:"2s"`
	File     []string      `arg:"" optional:"" help:"Log files, each of one instance unless its lines start with the instance's name; standard input if there is none."`
}

type lossesReport struct {
	Losses    []logs.Loss `json:"losses"`
	Lines     int         `json:"lines"`
	Malformed int         `json:"malformed"`
}

// Run prints the losses of all files together.
func (c *lossesCommand) Run(out *Output) error {
	if c.Interval <= 0 {
		return &ExitError{Code: ExitInvalid, Cause: errors.New("the interval must be positive")}
	}
	losses := logs.NewLosses(c.Interval)
	reader, err := readLogs(c.File, losses.Add)
	if err != nil {
		return err
	}
	report := lossesReport{Losses: losses.List(), Lines: reader.Lines, Malformed: reader.Malformed}
	return out.print(report, func(w io.Writer) {
		printLine(w, "%-12s %-12s %-12s %-8s %8s %6s %9s %9s  %s", "time", "database", "workspace", "outcome", "requests", "tries", "mean", "longest", "choice, reason, cause")
		for _, l := range report.Losses {
			printLine(w, "%-12s %-12s %-12s %-8s %8d %6d %9s %9s  %s", l.Start.Format("15:04:05.000"), l.Database, cmp.Or(l.Workspace, "-"), l.Outcome, l.Requests, l.Tries,
				milliseconds(l.Mean), milliseconds(l.Longest), joinKnown(l.Choice, l.Reason, l.Cause))
		}
		printMalformed(w, reader)
	})
}

func milliseconds(d time.Duration) string { return d.Round(time.Millisecond).String() }

// joinKnown joins the texts that are not empty.
func joinKnown(texts ...string) string {
	known := make([]string, 0, len(texts))
	for _, text := range texts {
		if text != "" {
			known = append(known, text)
		}
	}
	return strings.Join(known, ", ")
}
