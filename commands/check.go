package commands

import (
	"io"

	"siskincove/config"
	"siskincove/document"
)

func init() {
	register("check", "Check a set of objects without contacting the store.", &checkCommand{})
}

type checkCommand struct {
	Path string `arg:"" help:"File or directory of object files, in TOML." type:"path" predictor:"path"`
}

type checkReport struct {
	Valid    bool     `json:"valid"`
	Problems []string `json:"problems"`
	Objects  int      `json:"objects"`
}

// Run prints every problem found and fails with ExitInvalid if there are any.
func (c *checkCommand) Run(out *Output) error {
	source, problems := loadAndCheck(c.Path)
	report := checkReport{Valid: len(problems) == 0, Problems: []string{}, Objects: countObjects(source.Set)}
	for _, p := range problems {
		report.Problems = append(report.Problems, p.String())
	}
	err := out.print(report, func(w io.Writer) {
		for _, p := range report.Problems {
			printLine(w, "%s", p)
		}
		if report.Valid {
			printLine(w, "ok: %d objects are valid", report.Objects)
		}
	})
	if err == nil && !report.Valid {
		return &ExitError{Code: ExitInvalid}
	}
	return err
}

// loadAndCheck reads a set of objects and returns all problems found. The objects are checked only if every file could be
// decoded.
func loadAndCheck(path string) (*config.Source, document.Problems) {
	source, problems := config.Load(path)
	if len(problems) > 0 {
		return source, problems
	}
	return source, config.Check(source)
}

func countObjects(s config.Set) int {
	return len(s.Services) + len(s.Databases) + len(s.Endpoints) + len(s.Routes) + len(s.Allowances) + len(s.Limits) + len(s.Callers) + len(s.Workspaces)
}
