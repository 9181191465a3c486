package hosted

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"siskincove/member"
	"siskincove/meter"
)

// TestFetchDelay guards against a newer directory that each instance of a region fetches from another region, although a near peer
// has it a moment later: near peers must come first, whatever the random part of the wait.
func TestFetchDelay(t *testing.T) {
	nearToFar := []meter.Distance{meter.SameDomain, meter.SameRegion, meter.OtherRegion}
	for n := range len(nearToFar) - 1 {
		latest, next := fetchDelay(nearToFar[n], 1), fetchDelay(nearToFar[n+1], 0)
		if latest >= next {
			t.Errorf("a peer at distance %s is asked after %s, one at distance %s after %s", nearToFar[n], latest, nearToFar[n+1], next)
		}
	}
	if delay := fetchDelay(meter.SameDomain, 1); delay != 0 {
		t.Errorf("a peer of the own domain is asked after %s, want at once", delay)
	}
}

// TestDistantDirectory guards against an instance that is left behind because only distant instances have a newer configuration,
// as when the store turns its whole region away.
func TestDistantDirectory(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	const noStore = "127.0.0.1:1"
	alone := d.startIn(noStore, "far", "south/d", d.instances[0].options.Settings.Listen.Peers)
	d.eventually("ready with the directory of a distant peer", alone.health.ready)
	d.store.Write("op", "config", map[string]any{
		"version": 10, "routes": []map[string]any{{"name": "r1", "host": "main", "type": "primary", "service": "g", "timeout-ms": 4000}},
		"services": []map[string]any{{"name": "g", "max-connections": 60, "sync-replicas": 1}}, "limits": map[string]any{},
	})
	d.eventually("configuration in force", func() bool { return alone.directory.ConfigurationVersion() == 10 })
}

// TestNearestPeers checks which instances supply the directory at a start.
func TestNearestPeers(t *testing.T) {
	at := func(domains ...string) []member.Instance {
		var out []member.Instance
		for n, domain := range domains {
			out = append(out, member.Instance{ID: fmt.Sprint(n), Domain: domain})
		}
		return out
	}
	inOrder := func(n int) []int {
		out := make([]int, n)
		for i := range out {
			out[i] = i
		}
		return out
	}
	tests := map[string]struct {
		all  []member.Instance
		want []string
	}{
		"nobody":                     {},
		"own domain":                 {all: at("r/b", "r/a", "s/c", "r/a", "r/a"), want: []string{"1", "3"}},
		"one in the own domain":      {all: at("r/b", "r/a"), want: []string{"1"}},
		"own region":                 {all: at("s/c", "r/b", "r/d"), want: []string{"1", "2"}},
		"only in other regions":      {all: at("s/c", "q/b")},
		"domain of the same name":    {all: at("s/a", "r/b"), want: []string{"1"}},
		"fewer than are to be asked": {all: at("r/b"), want: []string{"0"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, i := range nearestPeers("r/a", test.all, bootstrapPeers, inOrder) {
				got = append(got, i.ID)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
