package failover

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/endpoint"
)

var (
	epoch  = time.Unix(1_000_000, 0)
	timing = Timing{Silence: 600 * time.Millisecond, Stagger: 700 * time.Millisecond}
)

func sight(name string, role endpoint.Role, term uint64, receiving bool, silence time.Duration) Observation {
	return Observation{Endpoint: name, Known: true, Silence: silence, Status: endpoint.Status{
		Role: role, Fenced: endpoint.FencedTerm(term), Log: endpoint.Position{Term: endpoint.LogTerm(term), Offset: 9}, Receiving: receiving,
	}}
}

// TestWatch gives what is seen for how long, and what follows.
func TestWatch(t *testing.T) {
	primary := sight("a", endpoint.Primary, 1, false, 0)
	replica := func(name string, receiving bool) Observation { return sight(name, endpoint.Replica, 1, receiving, 0) }
	promised := sight("c", endpoint.Stopped, 2, false, 0)
	unknown := Observation{Endpoint: "a"}
	departing, gone := primary, replica("b", true)
	departing.Leaving, gone.Leaving = true, true
	dead := sight("a", endpoint.Primary, 1, false, time.Second)
	tests := map[string]struct {
		sights []Observation
		lasted time.Duration
		rank   int
		want   Decision
	}{
		"healthy":                           {sights: []Observation{primary, replica("b", true), replica("c", true)}, lasted: time.Hour, want: Decision{Leader: "a", Term: 1, Highest: 1}},
		"primary silent":                    {sights: []Observation{dead, replica("b", false), replica("c", false)}, want: Decision{Lost: true, Reason: Silent, Highest: 1}},
		"primary silent, second in line":    {sights: []Observation{dead, replica("b", false), replica("c", false)}, rank: 1, want: Decision{Reason: Silent, Highest: 1}},
		"silent, second in line, later":     {sights: []Observation{dead, replica("b", false), replica("c", false)}, rank: 1, lasted: 1300 * time.Millisecond, want: Decision{Lost: true, Reason: Silent, Highest: 1}},
		"primary and a replica silent":      {sights: []Observation{dead, replica("b", false), sight("c", endpoint.Replica, 1, true, time.Second)}, lasted: time.Hour, want: Decision{Reason: Silent, Highest: 1}},
		"isolated, not yet long":            {sights: []Observation{primary, replica("b", false), replica("c", false)}, want: Decision{Reason: Isolated, Excluded: []string{"a"}, Highest: 1}},
		"isolated":                          {sights: []Observation{primary, replica("b", false), replica("c", false)}, lasted: time.Second, want: Decision{Lost: true, Reason: Isolated, Excluded: []string{"a"}, Highest: 1}},
		"one replica cut off":               {sights: []Observation{primary, replica("b", true), replica("c", false)}, lasted: time.Hour, want: Decision{Leader: "a", Term: 1, Reattach: []string{"c"}, Highest: 1}},
		"both replicas down":                {sights: []Observation{primary, sight("b", endpoint.Replica, 1, true, time.Second), sight("c", endpoint.Replica, 1, true, time.Second)}, lasted: time.Hour, want: Decision{Leader: "a", Term: 1, Highest: 1}},
		"primary's owner away":              {sights: []Observation{unknown, replica("b", true), replica("c", true)}, lasted: time.Hour, want: Decision{Highest: 1}},
		"primary and its owner lost":        {sights: []Observation{unknown, replica("b", false), replica("c", false)}, lasted: time.Second, want: Decision{Lost: true, Reason: Leaderless, Highest: 1}},
		"failed ballot fenced a majority":   {sights: []Observation{primary, sight("b", endpoint.Stopped, 2, false, 0), promised}, lasted: time.Second, want: Decision{Lost: true, Reason: Isolated, Excluded: []string{"a"}, Highest: 2}},
		"failed ballot fenced one":          {sights: []Observation{primary, replica("b", true), promised}, lasted: time.Second, want: Decision{Reason: Split, Highest: 2}},
		"failed ballot fenced one, long":    {sights: []Observation{primary, replica("b", true), promised}, lasted: 6 * time.Second, want: Decision{Lost: true, Reason: Split, Highest: 2}},
		"primary leaves":                    {sights: []Observation{departing, replica("b", true), replica("c", true)}, lasted: time.Second, want: Decision{Lost: true, Reason: Departing, Excluded: []string{"a"}, Highest: 1}},
		"primary leaves, nobody to succeed": {sights: []Observation{departing, gone, replica("c", true)}, lasted: time.Hour, want: Decision{Leader: "a", Term: 1, Highest: 1}},
		"a replica leaves":                  {sights: []Observation{primary, gone, replica("c", true)}, lasted: time.Hour, want: Decision{Leader: "a", Term: 1, Highest: 1}},
		"old primary back, still believing": {sights: []Observation{primary, sight("b", endpoint.Primary, 2, false, 0), sight("c", endpoint.Replica, 2, true, 0)}, lasted: time.Hour, want: Decision{Leader: "b", Term: 2, Reattach: []string{"a"}, Highest: 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w, _ := Watch{}.Observe(test.sights, test.rank, timing, epoch)
			_, got := w.Observe(test.sights, test.rank, timing, epoch.Add(test.lasted))
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
	_, _, spent := r.Take(1)
	got := []any{first, second, beyond, spent}
	if diff := cmp.Diff([]any{endpoint.FencedTerm(5), endpoint.FencedTerm(6), false, false}, got); diff != "" {
		t.Error(diff)
	}
}
