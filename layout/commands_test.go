package layout

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestNamedTests checks that the tests named in the documentation exist. A renamed or removed test would go unnoticed, since
// go test passes if the pattern of -run matches nothing.
func TestNamedTests(t *testing.T) {
	testCommand := regexp.MustCompile("go test ([^`]*)`")
	patternFlag := regexp.MustCompile(`-(?:run|bench|fuzz)[ =]('[^']*'|\S+)`)
	checked := 0
	for _, page := range documentationPages(t) {
		data, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		text := strings.Join(strings.Fields(string(data)), " ")
		for _, c := range testCommand.FindAllStringSubmatch(text, -1) {
			for _, r := range patternFlag.FindAllStringSubmatch(c[1], -1) {
				checked++
				checkPattern(t, page, c[1], strings.ReplaceAll(strings.Trim(r[1], "'"), `\|`, "|"))
			}
		}
	}
	if checked == 0 {
		t.Error("no documentation page names a test")
	}
}

// checkPattern reports each alternative of a pattern that matches no test in the command's packages.
func checkPattern(t *testing.T, page, command, pattern string) {
	t.Helper()
	// The pattern xxx matches no test on purpose, and NAME is a placeholder.
	if pattern == "xxx" || pattern == "." || pattern == "NAME" {
		return
	}
	names := testNames(t, command)
	for _, alternative := range strings.Split(pattern, "|") {
		alternative, _, _ = strings.Cut(alternative, "/")
		expression, err := regexp.Compile(alternative)
		if err != nil {
			t.Errorf("%s: %v", page, err)
			continue
		}
		if !expression.MatchString(names) {
			t.Errorf("%s: go test %s: no test matches %q", page, command, alternative)
		}
	}
}

// testNames returns the names of the tests, benchmarks and fuzz targets in a command's packages, one per line.
func testNames(t *testing.T, command string) string {
	t.Helper()
	declared := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)`)
	var names strings.Builder
	for _, directory := range strings.Fields(command) {
		if !strings.HasPrefix(directory, "./") {
			continue
		}
		files, err := filepath.Glob(filepath.Join("..", directory, "*_test.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range declared.FindAllStringSubmatch(string(data), -1) {
				names.WriteString(m[1] + "\n")
			}
		}
	}
	return names.String()
}

// documentationPages returns the paths of the documentation's files.
func documentationPages(t *testing.T) []string {
	t.Helper()
	var out []string
	for _, pattern := range []string{"../*.md", "../KNOWN-RED.txt", "../docs/*.md", "../docs/*/*.md"} {
		found, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, found...)
	}
	return out
}
