package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestPrint checks that a report leads with its verdict and says in which seconds nobody was served.
func TestPrint(t *testing.T) {
	tests := map[string]struct {
		report Report
		want   []string
	}{
		"passed": {
			report: Report{Seed: 7, Instances: 3, Duration: time.Second, Seconds: []Second{{Served: 2}, {Served: 1}}},
			want:   []string{"passed: no guarantee was violated", "seconds in which nobody was served: none"},
		},
		"failed": {
			report: Report{Violations: []string{"a write is lost"}, Seconds: []Second{{Served: 2}, {Refused: 1}, {}}},
			want:   []string{"failed: 1 checks", "  violated: a write is lost", "seconds in which nobody was served: 2 (1, 2)"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			if err := test.report.Print(&out); err != nil {
				t.Fatal(err)
			}
			var got []string
			for n, line := range strings.Split(out.String(), "\n") {
				if n < len(test.want)-1 || strings.HasPrefix(line, "seconds in which") {
					got = append(got, line)
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
