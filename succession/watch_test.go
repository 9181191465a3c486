package succession

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/endpoint"
)

var epoch = time.Unix(1_000_000, 0)

var timing = Timing{
	Refusing: 100 * time.Millisecond, Unresponsive: 500 * time.Millisecond, Isolated: 700 * time.Millisecond,
	Stagger: 700 * time.Millisecond, HoldTimeout: 2500 * time.Millisecond,
	Overloaded: time.Second, BusySlots: 12, MaxLag: 2 * time.Second, OverloadPause: 10 * time.Second,
}

func position(offset uint64) endpoint.Position { return endpoint.Position{Term: 1, Offset: offset} }

func primary(name string, log uint64) ProbeResult {
	return ProbeResult{Endpoint: name, Answered: true, Standing: &endpoint.Standing{Role: endpoint.Primary, Term: 1, Log: position(log)}}
}

func replica(name string, log uint64) ProbeResult {
	return ProbeResult{Endpoint: name, Answered: true, Standing: &endpoint.Standing{Role: endpoint.Replica, Term: 1, Log: position(log)}}
}

func heldBy(s ProbeResult, term endpoint.FencedTerm) ProbeResult {
	standing := *s.Standing
	standing.Held = term
	s.Standing = &standing
	return s
}

func lagging(name string) ProbeResult {
	s := replica(name, 5)
	s.Standing.Lag = 3 * time.Second
	return s
}

func leavingOf(s ProbeResult) ProbeResult {
	s.Leaving = true
	return s
}

// look is a survey at a time after the epoch.
type look struct {
	after  time.Duration
	proven time.Duration
	sights []ProbeResult
}

func TestWatch(t *testing.T) {
	silent, refused, busy := ProbeResult{Endpoint: "p"}, ProbeResult{Endpoint: "p", Refused: true}, ProbeResult{Endpoint: "p", Answered: true}
	both := []ProbeResult{replica("a", 5), replica("b", 5)}
	beside := func(s ProbeResult, others ...ProbeResult) []ProbeResult { return append([]ProbeResult{s}, others...) }
	tests := map[string]struct {
		looks []look
		rank  int
		want  Assessment
	}{
		"working primary": {
			looks: []look{{sights: beside(primary("p", 5), both...)}},
			want:  Assessment{Primary: "p", Position: position(5), OldPrimary: "p", Term: 1},
		},
		"busy primary is there": {
			looks: []look{{sights: beside(busy, both...)}, {after: 9 * time.Second, sights: beside(busy, both...)}},
			want:  Assessment{OldPrimary: "p", Term: 1},
		},
		"silent for too short a time": {
			looks: []look{{sights: beside(silent, both...)}, {after: 400 * time.Millisecond, sights: beside(silent, both...)}},
			want:  Assessment{Reason: Unresponsive, Since: epoch, OldPrimary: "p", Term: 1},
		},
		"silent": {
			looks: []look{{sights: beside(silent, both...)}, {after: 500 * time.Millisecond, sights: beside(silent, both...)}},
			want:  Assessment{Reason: Unresponsive, Since: epoch, Replace: true, OldPrimary: "p", Term: 1},
		},
		"second coordinator waits longer": {
			looks: []look{{sights: beside(silent, both...)}, {after: 500 * time.Millisecond, sights: beside(silent, both...)}}, rank: 1,
			want: Assessment{Reason: Unresponsive, Since: epoch, OldPrimary: "p", Term: 1},
		},
		"peers still reach it": {
			looks: []look{{sights: beside(silent, both...)}, {after: 500 * time.Millisecond, proven: 300 * time.Millisecond, sights: beside(silent, both...)}},
			want:  Assessment{Reason: Unresponsive, Since: epoch.Add(500 * time.Millisecond), OldPrimary: "p", Term: 1},
		},
		"refuses connections": {
			looks: []look{{sights: beside(refused, both...)}, {after: 100 * time.Millisecond, sights: beside(refused, both...)}},
			want:  Assessment{Reason: Refusing, Since: epoch, Replace: true, OldPrimary: "p", Term: 1},
		},
		// A replica that does not answer may hold the only copy of a commit.
		"too few replicas answer": {
			looks: []look{{sights: beside(refused, replica("a", 5), ProbeResult{Endpoint: "b"})}, {after: time.Second, sights: beside(refused, replica("a", 5), ProbeResult{Endpoint: "b"})}},
			want:  Assessment{Reason: Refusing, Since: epoch, OldPrimary: "p", BlockedBy: "no answer from replicas that may hold acknowledged commits: b", Term: 1},
		},
		"full primary beside a fresh replica": {
			looks: []look{{sights: beside(busy, lagging("a"), replica("b", 5))}, {after: 900 * time.Millisecond, sights: beside(busy, lagging("a"), replica("b", 5))}, {after: 1100 * time.Millisecond, sights: beside(primary("p", 5), lagging("a"), replica("b", 5))}},
			want:  Assessment{Primary: "p", Position: position(5), OldPrimary: "p", Term: 1},
		},
		// The pattern of scale-1 and scale-2: one database has a single endpoint that can take its reads.
		"full primary while all replicas lag": {
			looks: []look{{sights: beside(busy, lagging("a"), lagging("b"))}, {after: 900 * time.Millisecond, sights: beside(busy, lagging("a"), lagging("b"))}, {after: 1100 * time.Millisecond, sights: beside(primary("p", 5), lagging("a"), lagging("b"))}},
			want:  Assessment{Primary: "p", Position: position(5), Reason: Overloaded, Since: epoch.Add(1100 * time.Millisecond), Replace: true, OldPrimary: "p", Term: 1},
		},
		"primary with free slots while all replicas lag": {
			looks: []look{{sights: beside(primary("p", 5), lagging("a"), lagging("b"))}, {after: 5 * time.Second, sights: beside(primary("p", 5), lagging("a"), lagging("b"))}},
			want:  Assessment{Primary: "p", Position: position(5), OldPrimary: "p", Term: 1},
		},
		// Found on trouble-3 (LOST): the endpoint that was believed to lead was left out although it was a replica.
		"former primary that answers as a replica is counted": {
			looks: []look{{sights: beside(replica("p", 9), both...)}, {after: time.Second, sights: beside(replica("p", 9), both...)}},
			want:  Assessment{Reason: Leaderless, Since: epoch, Replace: true, Term: 1},
		},
		"leaving primary is replaced at once": {
			looks: []look{{sights: beside(leavingOf(primary("p", 5)), both...)}},
			want:  Assessment{Primary: "p", Position: position(5), Reason: Leaving, Since: epoch, Replace: true, OldPrimary: "p", Term: 1},
		},
		"leaving primary without a successor stays": {
			looks: []look{{sights: beside(leavingOf(primary("p", 5)), leavingOf(replica("a", 5)))}},
			want:  Assessment{Primary: "p", Position: position(5), OldPrimary: "p", Term: 1},
		},
		"isolated primary": {
			looks: []look{{sights: beside(primary("p", 8), both...)}, {after: 700 * time.Millisecond, sights: beside(primary("p", 8), both...)}},
			want:  Assessment{Primary: "p", Position: position(8), Reason: Isolated, Since: epoch.Add(700 * time.Millisecond), Replace: true, OldPrimary: "p", Term: 1},
		},
		"one replica that receives is enough": {
			looks: []look{{sights: beside(primary("p", 8), both...)}, {after: time.Second, sights: beside(primary("p", 12), replica("a", 9), replica("b", 5))}},
			want:  Assessment{Primary: "p", Position: position(12), OldPrimary: "p", Term: 1},
		},
		// Found on hunt-93d0-31 (ONE): two coordinators acted in turn on the same loss.
		"succession of another is not disturbed": {
			looks: []look{{sights: beside(refused, heldBy(replica("a", 5), 1026), replica("b", 5))}, {after: 2 * time.Second, sights: beside(refused, heldBy(replica("a", 5), 1026), replica("b", 5))}},
			want:  Assessment{Reason: Refusing, Since: epoch, OldPrimary: "p", BlockedBy: "another succession is under way", Term: 1026, Contested: true},
		},
		"forgotten succession is taken over": {
			looks: []look{{sights: beside(refused, heldBy(replica("a", 5), 1026), replica("b", 5))}, {after: 2500 * time.Millisecond, sights: beside(refused, heldBy(replica("a", 5), 1026), replica("b", 5))}},
			want:  Assessment{Reason: Refusing, Since: epoch, Replace: true, OldPrimary: "p", Term: 1026, Contested: true},
		},
		"forgotten holds beside a working primary": {
			looks: []look{{sights: beside(primary("p", 5), heldBy(replica("a", 5), 1026))}, {after: 2500 * time.Millisecond, sights: beside(primary("p", 5), heldBy(replica("a", 5), 1026))}},
			want:  Assessment{Primary: "p", Position: position(5), OldPrimary: "p", Term: 1026, Contested: true, Release: []string{"a"}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var w Detector
			var got Assessment
			for _, l := range test.looks {
				s := Survey{Primary: "p", Results: l.sights, Acknowledge: 1}
				if l.proven > 0 {
					s.ProvenAt = epoch.Add(l.proven)
				}
				w, got = w.Observe(s, test.rank, timing, epoch.Add(l.after))
			}
			got.Floor = Floor{}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestFloor never replaces a primary by a replica that has nothing of its term, which may lack what an earlier primary
// acknowledged.
func TestFloor(t *testing.T) {
	second := func(role endpoint.Role, name string, log endpoint.Position) ProbeResult {
		return ProbeResult{Endpoint: name, Answered: true, Standing: &endpoint.Standing{Role: role, Term: 2, Log: log}}
	}
	later := endpoint.Position{Term: 2, Offset: 9}
	tests := map[string]struct {
		first   []ProbeResult
		replica endpoint.Position
		want    bool
	}{
		"nothing of the term":       {first: []ProbeResult{second(endpoint.Primary, "p", later)}, replica: position(5)},
		"something of the term":     {first: []ProbeResult{second(endpoint.Primary, "p", later)}, replica: endpoint.Position{Term: 2, Offset: 8}, want: true},
		"all that it began with":    {first: []ProbeResult{second(endpoint.Primary, "p", position(7))}, replica: position(7), want: true},
		"less than it began with":   {first: []ProbeResult{second(endpoint.Primary, "p", position(7))}, replica: position(6)},
		"term known from a replica": {first: []ProbeResult{second(endpoint.Replica, "a", position(5))}, replica: position(5)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w, _ := Detector{}.Observe(Survey{Primary: "p", Results: test.first, Acknowledge: 1}, 0, timing, epoch)
			gone := Survey{Primary: "p", Results: []ProbeResult{{Endpoint: "p", Refused: true}, second(endpoint.Replica, "a", test.replica)}, Acknowledge: 1}
			w, _ = w.Observe(gone, 0, timing, epoch.Add(time.Second))
			_, j := w.Observe(gone, 0, timing, epoch.Add(2*time.Second))
			if j.Replace != test.want {
				t.Errorf("replace %t, floor %+v", j.Replace, j.Floor)
			}
		})
	}
}
