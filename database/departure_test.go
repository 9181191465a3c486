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

// TestListedDepartures guards against the loss of commits when the store lists an endpoint that is not registered and nobody counts
// it, and against waiting for one that has returned with its log or whose commits are known to be elsewhere.
func TestListedDepartures(t *testing.T) {
	a, b := config.Endpoint{Name: "a", Incarnation: 1}, config.Endpoint{Name: "b", Incarnation: 1}
	restarted, unknown := config.Endpoint{Name: "b", Incarnation: 2}, config.Endpoint{Name: "b"}
	share := func(config.Endpoint) Share { return Share{Limit: 1} }
	configure := func(members ...config.Endpoint) func(d *Database) {
		return func(d *Database) { d.configure(members, "", share) }
	}
	record := func(listed ...config.Endpoint) func(d *Database) {
		return func(d *Database) { d.RecordUnregistered(listed) }
	}
	settle := func(d *Database) { d.DropSettledDepartures(func(config.Endpoint) bool { return true }) }
	tests := map[string]struct {
		steps []func(d *Database)
		want  []config.Endpoint
	}{
		"all are registered":                  {steps: []func(d *Database){configure(a, b), record(a, b)}},
		"one is not registered":               {steps: []func(d *Database){configure(a), record(a, b)}, want: []config.Endpoint{b}},
		"an earlier incarnation":              {steps: []func(d *Database){configure(a, restarted), record(a, b)}, want: []config.Endpoint{b}},
		"recorded twice":                      {steps: []func(d *Database){configure(a, b), configure(a), record(a, b), record(a, b)}, want: []config.Endpoint{b}},
		"settled before":                      {steps: []func(d *Database){configure(a, b), configure(a), settle, record(a, b)}},
		"registered again":                    {steps: []func(d *Database){configure(a), record(a, b), configure(a, b)}},
		"registered again after a restart":    {steps: []func(d *Database){configure(a), record(a, b), configure(a, restarted)}, want: []config.Endpoint{b}},
		"registered again, start not known":   {steps: []func(d *Database){configure(a), record(a, unknown), configure(a, unknown)}, want: []config.Endpoint{unknown}},
		"settled, registered and gone again":  {steps: []func(d *Database){configure(a, b), configure(a), settle, configure(a, b), configure(a), record(a, b)}, want: []config.Endpoint{b}},
		"settled, and listed after a restore": {steps: []func(d *Database){configure(a), record(a, b), settle, record(a, b), record(a, b)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDatabase("db", Options{Clock: clock.System{}, Logger: event.Discard()})
			for _, step := range test.steps {
				step(d)
			}
			var got []config.Endpoint
			for _, departure := range d.Departures() {
				got = append(got, departure.Endpoint)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
