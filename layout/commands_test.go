package layout

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestNamedTests guards against a page that tells readers to run a test which was renamed or removed: go test passes when
// the pattern of -run matches nothing.
func TestNamedTests(t *testing.T) {
	command := regexp.MustCompile("go test ([^`]*)`")
	run := regexp.MustCompile(`-(?:run|bench|fuzz)[ =]('[^']*'|\S+)`)
	seen := 0
	for _, page := range pages(t) {
		data, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		text := strings.Join(strings.Fields(string(data)), " ")
		for _, c := range command.FindAllStringSubmatch(text, -1) {
			for _, r := range run.FindAllStringSubmatch(c[1], -1) {
				seen++
				checkPattern(t, page, c[1], strings.ReplaceAll(strings.Trim(r[1], "'"), `\|`, "|"))
			}
		}
	}
	if seen == 0 {
		t.Error("no page names a test")
	}
}

// checkPattern reports each alternative of a pattern that matches no test of the command's packages.
func checkPattern(t *testing.T, page, command, pattern string) {
	t.Helper()
	if pattern == "xxx" || pattern == "." || pattern == "NAME" {
		return
	}
	names := testNames(t, command)
	for _, part := range strings.Split(pattern, "|") {
		part, _, _ = strings.Cut(part, "/")
		like, err := regexp.Compile(part)
		if err != nil {
			t.Errorf("%s: %v", page, err)
			continue
		}
		if !like.MatchString(names) {
			t.Errorf("%s: go test %s: no test matches %q", page, command, part)
		}
	}
}

// testNames returns the names of the tests, benchmarks and fuzz targets of the packages that a command names.
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

// pages returns the pages of the documentation.
func pages(t *testing.T) []string {
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
