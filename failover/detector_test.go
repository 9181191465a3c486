package failover

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/endpoint"
)

var (
	epoch  = time.Unix(1_000_000, 0)
	timing = Timing{MinDuration: 600 * time.Millisecond, Stagger: 700 * time.Millisecond}
)

func newObservation(name string, role endpoint.Role, term uint64, receiving bool, unresponsiveFor time.Duration) Observation {
	return Observation{Endpoint: name, Known: true, UnresponsiveFor: unresponsiveFor, Status: endpoint.Status{
		Role: role, Fenced: endpoint.FencedTerm(term), Log: endpoint.Position{Term: endpoint.LogTerm(term), Offset: 9}, Receiving: receiving,
	}}
}

// TestDetector checks the decision after observations have persisted for some time.
func TestDetector(t *testing.T) {
	primary := newObservation("a", endpoint.Primary, 1, false, 0)
	replica := func(name string, receiving bool) Observation {
		return newObservation(name, endpoint.Replica, 1, receiving, 0)
	}
	promised := newObservation("c", endpoint.Stopped, 2, false, 0)
	unknown := Observation{Endpoint: "a"}
	leavingPrimary, leavingReplica := primary, replica("b", true)
	leavingPrimary.Leaving, leavingReplica.Leaving = true, true
	unresponsivePrimary := newObservation("a", endpoint.Primary, 1, false, time.Second)
	tests := map[string]struct {
		observations []Observation
		lasted       time.Duration
		rank         int
		want         Decision
	}{
		"healthy":              {observations: []Observation{primary, replica("b", true), replica("c", true)}, lasted: time.Hour, want: Decision{Primary: "a", Term: 1, Highest: 1}},
		"primary unresponsive": {observations: []Observation{unresponsivePrimary, replica("b", false), replica("c", false)}, want: Decision{StartBallot: true, Reason: Unresponsive, Highest: 1}},
		"primary unresponsive, second coordinator":            {observations: []Observation{unresponsivePrimary, replica("b", false), replica("c", false)}, rank: 1, want: Decision{Reason: Unresponsive, Highest: 1}},
		"primary unresponsive for longer, second coordinator": {observations: []Observation{unresponsivePrimary, replica("b", false), replica("c", false)}, rank: 1, lasted: 1300 * time.Millisecond, want: Decision{StartBallot: true, Reason: Unresponsive, Highest: 1}},
		"primary and a replica unresponsive":                  {observations: []Observation{unresponsivePrimary, replica("b", false), newObservation("c", endpoint.Replica, 1, true, time.Second)}, lasted: time.Hour, want: Decision{Reason: Unresponsive, Highest: 1}},
		"isolated too briefly":                                {observations: []Observation{primary, replica("b", false), replica("c", false)}, want: Decision{Reason: Isolated, Excluded: []string{"a"}, Highest: 1}},
		"isolated":                                            {observations: []Observation{primary, replica("b", false), replica("c", false)}, lasted: time.Second, want: Decision{StartBallot: true, Reason: Isolated, Excluded: []string{"a"}, Highest: 1}},
		"one replica cut off":                                 {observations: []Observation{primary, replica("b", true), replica("c", false)}, lasted: time.Hour, want: Decision{Primary: "a", Term: 1, Reattach: []string{"c"}, Highest: 1}},
		"both replicas down":                                  {observations: []Observation{primary, newObservation("b", endpoint.Replica, 1, true, time.Second), newObservation("c", endpoint.Replica, 1, true, time.Second)}, lasted: time.Hour, want: Decision{Primary: "a", Term: 1, Highest: 1}},
		"primary's owner unreachable":                         {observations: []Observation{unknown, replica("b", true), replica("c", true)}, lasted: time.Hour, want: Decision{Highest: 1}},
		"primary and its owner lost":                          {observations: []Observation{unknown, replica("b", false), replica("c", false)}, lasted: time.Second, want: Decision{StartBallot: true, Reason: Leaderless, Highest: 1}},
		"failed ballot fenced a majority":                     {observations: []Observation{primary, newObservation("b", endpoint.Stopped, 2, false, 0), promised}, lasted: time.Second, want: Decision{StartBallot: true, Reason: Isolated, Excluded: []string{"a"}, Highest: 2}},
		"failed ballot fenced one":                            {observations: []Observation{primary, replica("b", true), promised}, lasted: time.Second, want: Decision{Reason: Split, Highest: 2}},
		"failed ballot fenced one, long":                      {observations: []Observation{primary, replica("b", true), promised}, lasted: 6 * time.Second, want: Decision{StartBallot: true, Reason: Split, Highest: 2}},
		"primary leaves":                                      {observations: []Observation{leavingPrimary, replica("b", true), replica("c", true)}, lasted: time.Second, want: Decision{StartBallot: true, Reason: Leaving, Excluded: []string{"a"}, Highest: 1}},
		"primary leaves, too few successors":                  {observations: []Observation{leavingPrimary, leavingReplica, replica("c", true)}, lasted: time.Hour, want: Decision{Primary: "a", Term: 1, Highest: 1}},
		"a replica leaves":                                    {observations: []Observation{primary, leavingReplica, replica("c", true)}, lasted: time.Hour, want: Decision{Primary: "a", Term: 1, Highest: 1}},
		"old primary returns and still leads":                 {observations: []Observation{primary, newObservation("b", endpoint.Primary, 2, false, 0), newObservation("c", endpoint.Replica, 2, true, 0)}, lasted: time.Hour, want: Decision{Primary: "b", Term: 2, Reattach: []string{"a"}, Highest: 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d, _ := Detector{}.Observe(test.observations, test.rank, timing, epoch)
			_, got := d.Observe(test.observations, test.rank, timing, epoch.Add(test.lasted))
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestReservation(t *testing.T) {
	r := Reservation{next: 5, end: 7}
	r, first, _ := r.Take(1)
	_, _, beyond := r.Take(6)
	r, second, _ := r.Take(1)
	_, _, exhausted := r.Take(1)
	got := []any{first, second, beyond, exhausted}
	if diff := cmp.Diff([]any{endpoint.FencedTerm(5), endpoint.FencedTerm(6), false, false}, got); diff != "" {
		t.Error(diff)
	}
}
