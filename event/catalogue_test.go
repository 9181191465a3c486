package event

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestCatalogue checks that docs/events.md lists exactly the events in the code, each number once.
func TestCatalogue(t *testing.T) {
	data, err := os.ReadFile("../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	var documented []string
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| event") && !strings.HasPrefix(line, "| ---") {
			documented = append(documented, strings.TrimSpace(line))
		}
	}
	var defined []string
	numbers := map[int]bool{}
	for _, e := range Catalogue() {
		defined = append(defined, fmt.Sprintf("| %d | %s | %s | %s | %s |", e.Number, e.Level, e.Subsystem, e.Message, e.Meaning))
		if numbers[e.Number] {
			t.Errorf("event %d is defined twice", e.Number)
		}
		numbers[e.Number] = true
	}
	if diff := cmp.Diff(defined, documented); diff != "" {
		t.Error(diff)
	}
}
