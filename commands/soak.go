package commands

import (
	"context"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/soak"
)

func init() {
	register("soak", "Run instances on this machine against stand-ins, with faults from a seed, and check what callers and endpoints saw. The exit code is 5 if a guarantee was violated.", &soakCommand{})
}

type soakCommand struct {
	Seed      uint64        `help:"Seed of the faults and of the callers." default:"1"`
	Duration  time.Duration `help:"How long faults are injected." default:"1m"`
	Instances int           `help:"Number of instances." default:"3"`
	Binaries  string        `help:"Directory of the built programs; by default that of this one." type:"path"`
	Previous  string        `help:"Directory of the programs of another build: instances start with these and change the build with each restart." type:"path"`
	Report    string        `help:"Directory for the report and the logs of a run that failed; it is created." type:"path" required:""`
	Quiet     bool          `help:"Show no progress."`
}

// Run runs a soak and writes its report.
func (c *soakCommand) Run(out *Output) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := os.MkdirAll(c.Report, 0o755); err != nil {
		return errors.Wrap(err, "directory of the report")
	}
	o := soak.Options{Seed: c.Seed, Duration: c.Duration, Instances: c.Instances, Binaries: c.Binaries, Previous: c.Previous, Directory: c.Report, Progress: os.Stderr}
	if c.Quiet {
		o.Progress = nil
	}
	if o.Binaries == "" {
		self, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "directory of the programs")
		}
		o.Binaries = filepath.Dir(self)
	}
	for _, directory := range []string{o.Binaries, o.Previous} {
		if err := checkPrograms(directory); directory != "" && err != nil {
			return &ExitError{Code: ExitInvalid, Cause: err}
		}
	}
	report, err := soak.Run(ctx, o)
	if err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(c.Report, "report.txt"))
	if err != nil {
		return errors.Wrap(err, "report")
	}
	if err := errors.CombineErrors(report.Print(file), file.Close()); err != nil {
		return errors.Wrap(err, "report")
	}
	if err := out.print(report, func(w io.Writer) { _ = report.Print(w) }); err != nil {
		return err
	}
	if !report.Passed() {
		return &ExitError{Code: ExitGuaranteeViolated, Cause: errors.Newf("seed %d: %d violations", c.Seed, len(report.Violations))}
	}
	return nil
}

// checkPrograms returns an error that names the programs which a soak starts and does not find in a directory.
func checkPrograms(directory string) error {
	for _, name := range soak.Programs() {
		if _, err := os.Stat(filepath.Join(directory, name)); err != nil {
			return errors.Newf("a soak starts the programs %s, and %s is not in %s; build all with: go build -o %s ./cmd/...",
				strings.Join(soak.Programs(), ", "), name, directory, directory)
		}
	}
	return nil
}
