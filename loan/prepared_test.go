package loan

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"siskincove/statement"
)

// TestNamesOfOlderBorrowers guards against a statement that runs another caller's text because borrowers of a build that names
// statements by their XXH64 checksum, which these two texts share, use the same connection of the holder.
func TestNamesOfOlderBorrowers(t *testing.T) {
	const name = "w6c8fc1b6252df101"
	texts := []string{
		"--x3fujbselect-in-a-comment-24--0q5yghe1-the-second-block-of-32-x", "--28ek0jselect-in-a-comment-24--hitppbqp-the-second-block-of-32-x",
	}
	h := newHolder(t, 1)
	for n, text := range texts {
		c := h.borrow(t)
		mustExchange(t, c,
			statement.Step{Request: statement.Request{Kind: statement.Prepare, Name: name, Value: text, Writes: true}},
			statement.Step{Request: statement.Request{ID: fmt.Sprint(n), Kind: statement.Execute, Name: name, Value: "item", Writes: true}})
		mustExchange(t, c, statement.Step{Request: statement.Request{ID: "again", Kind: statement.Execute, Name: name, Value: "item", Writes: true}})
	}
	if diff := cmp.Diff([]string{texts[0], texts[0], texts[1], texts[1]}, h.endpoint.ran); diff != "" {
		t.Error(diff)
	}
	if h.endpoint.dialed != 1 {
		t.Errorf("%d connections, want 1", h.endpoint.dialed)
	}
}
