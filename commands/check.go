package commands

import (
	"io"

	"siskincove/config"
	"siskincove/document"
)

func init() {
	register("check", "Check a set of objects without touching anything.", &checkCommand{})
}

type checkCommand struct {
	Path string `arg:"" help:"File or directory of object files, in TOML." type:"path" predictor:"path"`
}

type checkReport struct {
	Valid    bool     `json:"valid"`
	Problems []string `json:"problems"`
	Objects  int      `json:"objects"`
}

// Run prints every problem found.
func (c *checkCommand) Run(out *Output) error {
	source, problems := loadChecked(c.Path)
	report := checkReport{Valid: len(problems) == 0, Problems: []string{}, Objects: count(source.Set)}
	for _, p := range problems {
		report.Problems = append(report.Problems, p.String())
	}
	err := out.print(report, func(w io.Writer) {
		for _, p := range report.Problems {
			line(w, "%s", p)
		}
		if report.Valid {
			line(w, "ok: %d objects hold together", report.Objects)
		}
	})
	if err == nil && !report.Valid {
		return &ExitError{Code: ExitInvalid}
	}
	return err
}

// loadChecked reads a set and returns everything that is wrong with it; rules are checked only once all files read.
func loadChecked(path string) (*config.Source, document.Problems) {
	source, problems := config.Load(path)
	if len(problems) > 0 {
		return source, problems
	}
	return source, config.Check(source)
}

func count(s config.Set) int {
	return len(s.Services) + len(s.Databases) + len(s.Endpoints) + len(s.Routes) + len(s.Allowances) + len(s.Limits) + len(s.Callers)
}
