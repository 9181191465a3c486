package commands

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"siskincove/logs"
)

func init() {
	register("logs", "Explain from the logs of instances what happened to requests.", &logsCommand{})
}

type logsCommand struct {
	Losses  lossesCommand  `cmd:"" help:"Count the requests that were refused, failed or late, by interval and cause."`
	Request requestCommand `cmd:"" help:"Print one request's way through all instances."`
	Traffic trafficCommand `cmd:"" help:"Sum what instances exchanged, by purpose and distance."`
}

// readLogs calls each with the lines of the files, or of standard input if files is empty.
func readLogs(files []string, each func(logs.Entry)) (*logs.Reader, error) {
	reader := new(logs.Reader)
	if len(files) == 0 {
		return reader, reader.Read(os.Stdin, "", each)
	}
	for _, file := range files {
		if err := readLog(reader, file, each); err != nil {
			return reader, err
		}
	}
	return reader, nil
}

// readLog reads one file; the file's name without its suffix names the instance.
func readLog(reader *logs.Reader, file string, each func(logs.Entry)) error {
	f, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "opening a log")
	}
	defer f.Close()
	return reader.Read(f, strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)), each)
}

func printMalformed(w io.Writer, r *logs.Reader) {
	if r.Malformed > 0 {
		printLine(w, "%d of %d lines are malformed and were skipped", r.Malformed, r.Lines)
	}
}
