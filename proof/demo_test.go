package proof

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestDemoSummary checks that the demo ends with "as expected" and exit code 0 only if its load tests saw what was expected: no
// violated guarantee, and unverified sessions only of the caller that was removed.
func TestDemoSummary(t *testing.T) {
	passed := "operation done\ncertificate fetch 7 1 1 1 1\nrefused: not run connect 3\nconsistency violations: 0; sessions not verified: 0\n"
	unverified := strings.Replace(passed, "verified: 0", "verified: 3", 1)
	violated := strings.Replace(passed, "violations: 0", "violations: 2", 1)
	tests := map[string]struct {
		visitors, second         string
		visitorsCode, secondCode string
		want                     bool
	}{
		"as expected":                   {visitors: unverified, visitorsCode: "6", second: passed, secondCode: "0", want: true},
		"violation of removed visitors": {visitors: violated, visitorsCode: "5", second: passed, secondCode: "0"},
		"violation after the change":    {visitors: unverified, visitorsCode: "6", second: violated, secondCode: "5"},
		"sessions not verified":         {visitors: unverified, visitorsCode: "6", second: unverified, secondCode: "6"},
		"no report":                     {visitors: unverified, visitorsCode: "6", secondCode: "1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			directory := t.TempDir()
			files := map[string]string{
				"first.out": passed, "first.code": "0", "visitors.out": test.visitors, "visitors.code": test.visitorsCode,
				"second.out": test.second, "second.code": test.secondCode,
			}
			for file, text := range files {
				if err := os.WriteFile(filepath.Join(directory, file), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			out, err := exec.Command("sh", "../demo/summary.sh", directory).CombinedOutput()
			expected := strings.Contains(string(out), "\nas expected")
			if (err == nil) != test.want || expected != test.want {
				t.Errorf("%v: %s", err, out)
			}
			if !strings.Contains(string(out), "7 served, refused: 3 connect") {
				t.Errorf("no operations are shown: %s", out)
			}
		})
	}
}
