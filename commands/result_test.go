package commands

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"siskincove/load"
	"siskincove/soak"
)

// TestLoadResult checks that a violated guarantee has another exit code than one that could not be verified.
func TestLoadResult(t *testing.T) {
	tests := map[string]struct {
		report load.Report
		want   int
	}{
		"passed":                  {},
		"violated":                {report: load.Report{ViolationCount: 2}, want: ExitGuaranteeViolated},
		"violated and unverified": {report: load.Report{ViolationCount: 2, Unverified: 1}, want: ExitGuaranteeViolated},
		"unverified":              {report: load.Report{Unverified: 1}, want: ExitUnverified},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := 0
			if err := loadResult(test.report); err != nil {
				got = ExitCode(err)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestMissingPrograms checks that a soak names the programs that it lacks and the command that builds them, before it starts anything.
func TestMissingPrograms(t *testing.T) {
	directory := t.TempDir()
	err := checkPrograms(directory)
	if err == nil || !strings.Contains(err.Error(), "siskincoved") || !strings.Contains(err.Error(), "go build -o "+directory+" ./cmd/...") {
		t.Errorf("got %v", err)
	}
	for _, name := range soak.Programs() {
		if err := os.WriteFile(filepath.Join(directory, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := checkPrograms(directory); err != nil {
		t.Error(err)
	}
}
