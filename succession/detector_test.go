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

func primaryResult(name string, log uint64) ProbeResult {
	return ProbeResult{Endpoint: name, Answered: true, Status: &endpoint.PlatformStatus{Role: endpoint.Primary, Term: 1, Log: position(log)}}
}

func replicaResult(name string, log uint64) ProbeResult {
	return ProbeResult{Endpoint: name, Answered: true, Status: &endpoint.PlatformStatus{Role: endpoint.Replica, Term: 1, Log: position(log)}}
}

func withHold(result ProbeResult, term endpoint.FencedTerm) ProbeResult {
	status := *result.Status
	status.Held = term
	result.Status = &status
	return result
}

func laggingReplica(name string) ProbeResult {
	result := replicaResult(name, 5)
	result.Status.Lag = 3 * time.Second
	return result
}

func withLeaving(result ProbeResult) ProbeResult {
	result.Leaving = true
	return result
}

// surveyAt is a survey at a time after epoch. proven is when the primary was last proved to lead, 0 for never.
type surveyAt struct {
	after   time.Duration
	proven  time.Duration
	results []ProbeResult
}

func TestDetector(t *testing.T) {
	unresponsive, refused, saturated := ProbeResult{Endpoint: "p"}, ProbeResult{Endpoint: "p", Refused: true}, ProbeResult{Endpoint: "p", Answered: true}
	both := []ProbeResult{replicaResult("a", 5), replicaResult("b", 5)}
	with := func(result ProbeResult, others ...ProbeResult) []ProbeResult {
		return append([]ProbeResult{result}, others...)
	}
	tests := map[string]struct {
		surveys []surveyAt
		rank    int
		want    Assessment
	}{
		"working primary": {
			surveys: []surveyAt{{results: with(primaryResult("p", 5), both...)}},
			want:    Assessment{Primary: "p", Position: position(5), OldPrimary: "p", Term: 1},
		},
		"primary without free slots is alive": {
			surveys: []surveyAt{{results: with(saturated, both...)}, {after: 9 * time.Second, results: with(saturated, both...)}},
			want:    Assessment{OldPrimary: "p", Term: 1},
		},
		"unresponsive for too short a time": {
			surveys: []surveyAt{{results: with(unresponsive, both...)}, {after: 400 * time.Millisecond, results: with(unresponsive, both...)}},
			want:    Assessment{Reason: Unresponsive, Since: epoch, OldPrimary: "p", Term: 1},
		},
		"unresponsive": {
			surveys: []surveyAt{{results: with(unresponsive, both...)}, {after: 500 * time.Millisecond, results: with(unresponsive, both...)}},
			want:    Assessment{Reason: Unresponsive, Since: epoch, Replace: true, OldPrimary: "p", Term: 1},
		},
		"second coordinator waits longer": {
			surveys: []surveyAt{{results: with(unresponsive, both...)}, {after: 500 * time.Millisecond, results: with(unresponsive, both...)}}, rank: 1,
			want: Assessment{Reason: Unresponsive, Since: epoch, OldPrimary: "p", Term: 1},
		},
		"peers still reach the primary": {
			surveys: []surveyAt{{results: with(unresponsive, both...)}, {after: 500 * time.Millisecond, proven: 300 * time.Millisecond, results: with(unresponsive, both...)}},
			want:    Assessment{Reason: Unresponsive, Since: epoch.Add(500 * time.Millisecond), OldPrimary: "p", Term: 1},
		},
		"primary refuses connections": {
			surveys: []surveyAt{{results: with(refused, both...)}, {after: 100 * time.Millisecond, results: with(refused, both...)}},
			want:    Assessment{Reason: Refusing, Since: epoch, Replace: true, OldPrimary: "p", Term: 1},
		},
		// A replica that does not answer may hold the only copy of a commit besides the primary's.
		"too few replicas answer": {
			surveys: []surveyAt{{results: with(refused, replicaResult("a", 5), ProbeResult{Endpoint: "b"})}, {after: time.Second, results: with(refused, replicaResult("a", 5), ProbeResult{Endpoint: "b"})}},
			want:    Assessment{Reason: Refusing, Since: epoch, OldPrimary: "p", BlockedBy: "no answer from replicas that may hold acknowledged commits: b", Term: 1},
		},
		"full primary beside a fresh replica": {
			surveys: []surveyAt{{results: with(saturated, laggingReplica("a"), replicaResult("b", 5))}, {after: 900 * time.Millisecond, results: with(saturated, laggingReplica("a"), replicaResult("b", 5))}, {after: 1100 * time.Millisecond, results: with(primaryResult("p", 5), laggingReplica("a"), replicaResult("b", 5))}},
			want:    Assessment{Primary: "p", Position: position(5), OldPrimary: "p", Term: 1},
		},
		// The primary is the only endpoint that can serve fresh reads, and it is full.
		"full primary while all replicas lag": {
			surveys: []surveyAt{{results: with(saturated, laggingReplica("a"), laggingReplica("b"))}, {after: 900 * time.Millisecond, results: with(saturated, laggingReplica("a"), laggingReplica("b"))}, {after: 1100 * time.Millisecond, results: with(primaryResult("p", 5), laggingReplica("a"), laggingReplica("b"))}},
			want:    Assessment{Primary: "p", Position: position(5), Reason: Overloaded, Since: epoch.Add(1100 * time.Millisecond), Replace: true, OldPrimary: "p", Term: 1},
		},
		"primary with free slots while all replicas lag": {
			surveys: []surveyAt{{results: with(primaryResult("p", 5), laggingReplica("a"), laggingReplica("b"))}, {after: 5 * time.Second, results: with(primaryResult("p", 5), laggingReplica("a"), laggingReplica("b"))}},
			want:    Assessment{Primary: "p", Position: position(5), OldPrimary: "p", Term: 1},
		},
		// Acknowledged commits were lost when the endpoint believed to lead was left out although it was a replica.
		"former primary that answers as a replica is counted": {
			surveys: []surveyAt{{results: with(replicaResult("p", 9), both...)}, {after: time.Second, results: with(replicaResult("p", 9), both...)}},
			want:    Assessment{Reason: Leaderless, Since: epoch, Replace: true, Term: 1},
		},
		"leaving primary is replaced at once": {
			surveys: []surveyAt{{results: with(withLeaving(primaryResult("p", 5)), both...)}},
			want:    Assessment{Primary: "p", Position: position(5), Reason: Leaving, Since: epoch, Replace: true, OldPrimary: "p", Term: 1},
		},
		"leaving primary without a successor stays": {
			surveys: []surveyAt{{results: with(withLeaving(primaryResult("p", 5)), withLeaving(replicaResult("a", 5)))}},
			want:    Assessment{Primary: "p", Position: position(5), OldPrimary: "p", Term: 1},
		},
		"isolated primary": {
			surveys: []surveyAt{{results: with(primaryResult("p", 8), both...)}, {after: 700 * time.Millisecond, results: with(primaryResult("p", 8), both...)}},
			want:    Assessment{Primary: "p", Position: position(8), Reason: Isolated, Since: epoch.Add(700 * time.Millisecond), Replace: true, OldPrimary: "p", Term: 1, Unreplicated: true},
		},
		// A demotion that no replica can follow hands the lead back, and the records that nobody has acknowledged then count as acknowledged.
		"leaving primary whose log no replica has waits": {
			surveys: []surveyAt{{results: with(withLeaving(primaryResult("p", 8)), both...)}, {after: 100 * time.Millisecond, results: with(withLeaving(primaryResult("p", 9)), both...)}},
			want:    Assessment{Primary: "p", Position: position(9), OldPrimary: "p", Term: 1},
		},
		"leaving primary whose log a replica has reached": {
			surveys: []surveyAt{{results: with(withLeaving(primaryResult("p", 8)), both...)}, {after: 100 * time.Millisecond, results: with(withLeaving(primaryResult("p", 9)), replicaResult("a", 8))}},
			want:    Assessment{Primary: "p", Position: position(9), Reason: Leaving, Since: epoch.Add(100 * time.Millisecond), Replace: true, OldPrimary: "p", Term: 1},
		},
		"leaving primary whose log no replica receives": {
			surveys: []surveyAt{{results: with(withLeaving(primaryResult("p", 8)), both...)}, {after: 700 * time.Millisecond, results: with(withLeaving(primaryResult("p", 8)), both...)}},
			want:    Assessment{Primary: "p", Position: position(8), Reason: Isolated, Since: epoch.Add(700 * time.Millisecond), Replace: true, OldPrimary: "p", Term: 1, Unreplicated: true},
		},
		"one receiving replica is enough": {
			surveys: []surveyAt{{results: with(primaryResult("p", 8), both...)}, {after: time.Second, results: with(primaryResult("p", 12), replicaResult("a", 9), replicaResult("b", 5))}},
			want:    Assessment{Primary: "p", Position: position(12), OldPrimary: "p", Term: 1},
		},
		// Two coordinators must not act in turn on the same loss of a primary.
		"another succession in progress is not disturbed": {
			surveys: []surveyAt{{results: with(refused, withHold(replicaResult("a", 5), 1026), replicaResult("b", 5))}, {after: 2 * time.Second, results: with(refused, withHold(replicaResult("a", 5), 1026), replicaResult("b", 5))}},
			want:    Assessment{Reason: Refusing, Since: epoch, OldPrimary: "p", BlockedBy: "another succession is in progress", Term: 1026, Contested: true},
		},
		"abandoned succession is taken over": {
			surveys: []surveyAt{{results: with(refused, withHold(replicaResult("a", 5), 1026), replicaResult("b", 5))}, {after: 2500 * time.Millisecond, results: with(refused, withHold(replicaResult("a", 5), 1026), replicaResult("b", 5))}},
			want:    Assessment{Reason: Refusing, Since: epoch, Replace: true, OldPrimary: "p", Term: 1026, Contested: true},
		},
		"abandoned holds with a working primary": {
			surveys: []surveyAt{{results: with(primaryResult("p", 5), withHold(replicaResult("a", 5), 1026))}, {after: 2500 * time.Millisecond, results: with(primaryResult("p", 5), withHold(replicaResult("a", 5), 1026))}},
			want:    Assessment{Primary: "p", Position: position(5), OldPrimary: "p", Term: 1026, Contested: true, Release: []string{"a"}},
		},
		// Soak seeds 603 and 608: nobody led for good, since each former incarnation of a demoted primary counted as a replica that may
		// hold commits.
		"former incarnations of one endpoint": {
			surveys: []surveyAt{
				{results: append(both, replicaResult("p", 5), ProbeResult{Endpoint: "p/1", Departed: true, Successor: "p"}, ProbeResult{Endpoint: "p/2", Departed: true, Successor: "p"})},
				{after: timing.Refusing, results: append(both, replicaResult("p", 5), ProbeResult{Endpoint: "p/1", Departed: true, Successor: "p"}, ProbeResult{Endpoint: "p/2", Departed: true, Successor: "p"})},
			},
			want: Assessment{Reason: Leaderless, Since: epoch, Replace: true, Term: 1},
		},
		"former incarnations of two endpoints": {
			surveys: []surveyAt{
				{results: append(both, replicaResult("p", 5), ProbeResult{Endpoint: "p/1", Departed: true, Successor: "p"}, ProbeResult{Endpoint: "a/1", Departed: true, Successor: "a"})},
				{after: timing.Refusing, results: append(both, replicaResult("p", 5), ProbeResult{Endpoint: "p/1", Departed: true, Successor: "p"}, ProbeResult{Endpoint: "a/1", Departed: true, Successor: "a"})},
			},
			want: Assessment{
				Reason: Leaderless, Since: epoch, Term: 1,
				BlockedBy: "no answer from replicas that may hold acknowledged commits: p/1, a/1",
			},
		},
		// Soak seed 401, 4 instances: writes did not resume, since nobody released the holds of a coordinator that was gone. No replica
		// received from the returned primary, and a former incarnation kept it from being replaced.
		"abandoned holds isolate a primary that must not be replaced": {
			surveys: []surveyAt{
				{results: with(primaryResult("p", 8), withHold(replicaResult("a", 5), 1026), withHold(replicaResult("b", 5), 1026), ProbeResult{Endpoint: "a/1", Departed: true})},
				{after: 2500 * time.Millisecond, results: with(primaryResult("p", 8), withHold(replicaResult("a", 5), 1026), withHold(replicaResult("b", 5), 1026), ProbeResult{Endpoint: "a/1", Departed: true})},
			},
			want: Assessment{
				Primary: "p", Position: position(8), Reason: Isolated, Since: epoch.Add(2500 * time.Millisecond), OldPrimary: "p", Term: 1026, Contested: true, Unreplicated: true,
				BlockedBy: "no answer from replicas that may hold acknowledged commits: a/1", Release: []string{"a", "b"},
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var d Detector
			var got Assessment
			for _, survey := range test.surveys {
				s := Survey{Primary: "p", Results: survey.results, Acknowledge: 1}
				if survey.proven > 0 {
					s.ProvenAt = epoch.Add(survey.proven)
				}
				d, got = d.Observe(s, test.rank, timing, epoch.Add(survey.after))
			}
			got.Floor = Floor{}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPrimaryDemotedBeforeDepartures guards against a group that stays without a primary: its primary was demoted, and the only
// replica that had been cut off from the others left before it, so that two departed endpoints may hold commits. Another replica
// has the demoted primary's whole log (soak seed 127, 4 instances). A new incarnation of the primary is not the demoted one.
func TestPrimaryDemotedBeforeDepartures(t *testing.T) {
	left := []ProbeResult{
		replicaResult("p", 2), {Endpoint: "p/1", Refused: true, Departed: true, Leaving: true}, {Endpoint: "b/1", Refused: true, Departed: true, Leaving: true},
	}
	left[0].Incarnation = 2
	tests := map[string]struct {
		log         uint64
		incarnation uint64
		want        bool
	}{
		"replica has the whole log": {log: 9, incarnation: 1, want: true},
		"replica lacks a part":      {log: 8, incarnation: 1},
		"primary was restarted":     {log: 9, incarnation: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			led, demoted := primaryResult("p", 7), replicaResult("p", 9)
			led.Incarnation, demoted.Incarnation = 1, test.incarnation
			absent := ProbeResult{Endpoint: "b/1", Refused: true, Departed: true, Leaving: true}
			surveys := [][]ProbeResult{
				{led, replicaResult("a", 5)},
				{demoted, replicaResult("a", test.log), absent},
				append([]ProbeResult{replicaResult("a", test.log)}, left...), append([]ProbeResult{replicaResult("a", test.log)}, left...),
			}
			var d Detector
			var got Assessment
			for n, results := range surveys {
				d, got = d.Observe(Survey{Results: results, Acknowledge: 1}, 0, timing, epoch.Add(time.Duration(n)*time.Second))
			}
			if got.Replace != test.want {
				t.Errorf("replace %t: %s", got.Replace, got.BlockedBy)
			}
		})
	}
}

// TestEndedSuccession checks that a coordinator does not wait for holds that its own last succession left in place.
func TestEndedSuccession(t *testing.T) {
	held := Survey{Primary: "p", Acknowledge: 1, Results: []ProbeResult{{Endpoint: "p", Refused: true}, withHold(replicaResult("a", 5), 1026), replicaResult("b", 5)}}
	for name, test := range map[string]struct {
		ended endpoint.FencedTerm
		want  bool
	}{
		"own holds":         {ended: 1026, want: true},
		"another's holds":   {ended: 1025},
		"no own succession": {},
	} {
		t.Run(name, func(t *testing.T) {
			d, _ := Detector{}.afterAttempt(test.ended).Observe(held, 0, timing, epoch)
			_, got := d.Observe(held, 0, timing, epoch.Add(200*time.Millisecond))
			if got.Replace != test.want {
				t.Errorf("replace %t: %s", got.Replace, got.BlockedBy)
			}
		})
	}
}

// TestFloor guards against promoting a replica that has neither a record of the old primary's term nor the whole log with
// which the term began, and so may lack commits that an earlier primary acknowledged.
func TestFloor(t *testing.T) {
	inTermTwo := func(role endpoint.Role, name string, log endpoint.Position) ProbeResult {
		return ProbeResult{Endpoint: name, Answered: true, Status: &endpoint.PlatformStatus{Role: role, Term: 2, Log: log}}
	}
	later := endpoint.Position{Term: 2, Offset: 9}
	tests := map[string]struct {
		first   []ProbeResult
		replica endpoint.Position
		want    bool
	}{
		"nothing of the term":            {first: []ProbeResult{inTermTwo(endpoint.Primary, "p", later)}, replica: position(5)},
		"something of the term":          {first: []ProbeResult{inTermTwo(endpoint.Primary, "p", later)}, replica: endpoint.Position{Term: 2, Offset: 8}, want: true},
		"whole log at its start":         {first: []ProbeResult{inTermTwo(endpoint.Primary, "p", position(7))}, replica: position(7), want: true},
		"less than the log at its start": {first: []ProbeResult{inTermTwo(endpoint.Primary, "p", position(7))}, replica: position(6)},
		"term known from a replica":      {first: []ProbeResult{inTermTwo(endpoint.Replica, "a", position(5))}, replica: position(5)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d, _ := Detector{}.Observe(Survey{Primary: "p", Results: test.first, Acknowledge: 1}, 0, timing, epoch)
			crashed := Survey{Primary: "p", Results: []ProbeResult{{Endpoint: "p", Refused: true}, inTermTwo(endpoint.Replica, "a", test.replica)}, Acknowledge: 1}
			d, _ = d.Observe(crashed, 0, timing, epoch.Add(time.Second))
			_, got := d.Observe(crashed, 0, timing, epoch.Add(2*time.Second))
			if got.Replace != test.want {
				t.Errorf("replace %t, floor %+v", got.Replace, got.Floor)
			}
		})
	}
}

// TestDemotedPrimaryLeaves guards against a group that stays without a primary: its primary was demoted for a succession, whose promotion the
// platform did not accept, and then left. Each acknowledged commit is in one more log than its own, and all others answer (soak
// seed 7, 6 instances).
func TestDemotedPrimaryLeaves(t *testing.T) {
	demoted := Survey{Primary: "p", Acknowledge: 1, Results: []ProbeResult{replicaResult("p", 9), replicaResult("a", 9), replicaResult("b", 7)}}
	left := Survey{Acknowledge: 1, Results: []ProbeResult{
		replicaResult("p", 9), replicaResult("a", 9), replicaResult("b", 7), {Endpoint: "p/1", Refused: true, Departed: true, Leaving: true},
	}}
	d, _ := Detector{}.Observe(demoted, 0, timing, epoch)
	d, _ = d.Observe(left, 0, timing, epoch.Add(time.Second))
	_, got := d.Observe(left, 0, timing, epoch.Add(17*time.Second))
	if !got.Replace {
		t.Errorf("no endpoint is promoted 17 s after the primary has left: %s", got.BlockedBy)
	}
}
