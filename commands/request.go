package commands

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/logs"
)

type requestCommand struct {
	Request string   `arg:"" help:"The request's ID."`
	File    []string `arg:"" optional:"" help:"Log files, each of one instance unless its lines start with the instance's name; standard input if there is none."`
}

type requestLine struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Event    int       `json:"event"`
	Line     string    `json:"line"`
}

type requestReport struct {
	Path      []requestLine `json:"path"`
	Lines     int           `json:"lines"`
	Malformed int           `json:"malformed"`
}

// Run prints the lines about the request, ordered by time. It fails if there is none.
func (c *requestCommand) Run(out *Output) error {
	path := logs.NewPath(c.Request)
	reader, err := readLogs(c.File, path.Add)
	if err != nil {
		return err
	}
	report := requestReport{Path: []requestLine{}, Lines: reader.Lines, Malformed: reader.Malformed}
	for _, e := range path.Entries() {
		report.Path = append(report.Path, requestLine{Time: e.Time, Instance: e.Instance, Event: e.Number, Line: e.Text()})
	}
	err = out.print(report, func(w io.Writer) {
		for _, l := range report.Path {
			printLine(w, "%s %s", l.Instance, l.Line)
		}
		printMalformed(w, reader)
	})
	if err == nil && len(report.Path) == 0 {
		return &ExitError{Code: ExitFailure, Cause: errors.Newf("no line is about request %s", c.Request)}
	}
	return err
}
