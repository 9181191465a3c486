package proof

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"siskincove/standin/cluster"
)

// TestRoaming checks the path of a request end to end: a standard driver writes at one instance and reads its write at
// another, a replica serves a history read, and each routing decision is logged.
func TestRoaming(t *testing.T) {
	c := startCluster(t, nil, cluster.Objects{})
	ctx := boundedContext(t)
	first := connect(t, c, 0, "")
	if _, err := first.Exec(ctx, "INSERT INTO signoffs (key, value) VALUES ($1, $2)", "clock-7", "signed"); err != nil {
		t.Fatal(err)
	}
	second := connect(t, c, 1, "")
	var got string
	if err := second.QueryRow(ctx, "SELECT value FROM signoffs WHERE key = $1", "clock-7").Scan(&got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("signed", got); diff != "" {
		t.Error(diff)
	}
	history := connect(t, c, 2, database+"-history")
	var count int
	if err := history.QueryRow(ctx, "SELECT count(*) FROM signoffs WHERE key = $1", "clock-7").Scan(&count); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(1, count); diff != "" {
		t.Error(diff)
	}
	for n, want := range []string{"why=primary", "why=\"replica", "why=\"replica"} {
		found := func() bool { return strings.Contains(c.Instances[n].Log(), want) }
		if !eventually(found) {
			t.Errorf("%s has no routing line with %s", c.Instances[n].ID, want)
		}
	}
}
