package database

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/event"
)

// TestPrimaryDeparts guards against the loss of commits that a former primary acknowledged as a replica of the next one, after its
// registration had been removed: its departure was not recorded, so that a succession did not count it.
func TestPrimaryDeparts(t *testing.T) {
	clk := clock.System{}
	d := newDatabase("db", Options{Clock: clk, Logger: event.Discard()})
	share := func(config.Endpoint) Share { return Share{Limit: 1} }
	members := []config.Endpoint{{Name: "p", Incarnation: 1}, {Name: "a", Incarnation: 1}}
	d.configure(members, "", share)
	d.RecordLead("p", endpoint.Position{Term: 1, Offset: 1}, clk.Now().Add(-time.Millisecond))
	d.configure(members[1:], "", share)
	var names []string
	for _, departure := range d.Departures() {
		names = append(names, departure.Endpoint.Name)
	}
	if diff := cmp.Diff([]string{"p"}, names); diff != "" {
		t.Error(diff)
	}
}
