package connection

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

// TestVictim answers the pattern of more workspaces than connections: the connection that is closed is the one whose workspace
// needs it least.
func TestVictim(t *testing.T) {
	tests := map[string]struct {
		idle []idleConnection
		want int
	}{
		"none idle":                        {want: -1},
		"least recently used":              {idle: []idleConnection{{idle: 3 * ms}, {idle: 9 * ms}, {idle: 1 * ms}}, want: 1},
		"spare one before an older last":   {idle: []idleConnection{{idle: 9 * ms}, {idle: 3 * ms, spare: true}}, want: 1},
		"much older last one before spare": {idle: []idleConnection{{idle: 9 * ms}, {idle: 2 * ms, spare: true}}, want: 0},
		"just released":                    {idle: []idleConnection{{}}, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, victim(test.idle)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPatience answers the pattern of several statements of one workspace at a time: it opens no further connection where one is
// released sooner than that pays.
func TestPatience(t *testing.T) {
	tests := map[string]struct {
		shortage shortage
		want     time.Duration
	}{
		"no connection of the workspace": {shortage: shortage{serviceTime: 10 * ms, openTime: 15 * ms}},
		"time to open unknown":           {shortage: shortage{serviceTime: 10 * ms, running: 1}},
		"released soon":                  {shortage: shortage{serviceTime: 10 * ms, openTime: 15 * ms, running: 1}, want: 30 * ms},
		"two ahead":                      {shortage: shortage{serviceTime: 15 * ms, openTime: 15 * ms, running: 1, ahead: 2}},
		"two ahead of three":             {shortage: shortage{serviceTime: 15 * ms, openTime: 15 * ms, running: 3, ahead: 2}, want: 30 * ms},
		"long statements":                {shortage: shortage{serviceTime: 40 * ms, openTime: 15 * ms, running: 1}},
		"another workspace would lose":   {shortage: shortage{serviceTime: 40 * ms, openTime: 15 * ms, running: 1, evicts: true}, want: 45 * ms},
		"others wait for the slot":       {shortage: shortage{serviceTime: 10 * ms, openTime: 15 * ms, running: 1, contended: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, test.shortage.patience()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestOvertaken answers the pattern of an endpoint that leaves some statements unanswered and serves the others.
func TestOvertaken(t *testing.T) {
	const serviceTime = 10 * ms
	epoch := time.Unix(1_000_000, 0)
	tests := map[string]struct {
		sent, answered []time.Duration
		now            time.Duration
		want           int
	}{
		"none answered":             {sent: []time.Duration{0, 1 * ms}, now: 500 * ms},
		"earlier one answered":      {sent: []time.Duration{1 * ms}, answered: []time.Duration{0}, now: 500 * ms},
		"later one answered":        {sent: []time.Duration{0}, answered: []time.Duration{1 * ms}, now: 41 * ms, want: 1},
		"later one answered sooner": {sent: []time.Duration{0}, answered: []time.Duration{1 * ms}, now: 40 * ms},
		"one of two":                {sent: []time.Duration{0, 5 * ms}, answered: []time.Duration{3 * ms}, now: 500 * ms, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var f flight
			for _, at := range append(test.sent, test.answered...) {
				f.begin(epoch.Add(at))
			}
			for _, at := range test.answered {
				f.end(epoch.Add(at), true)
			}
			if diff := cmp.Diff(test.want, f.overtaken(epoch.Add(test.now), serviceTime)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
