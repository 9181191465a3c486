package session

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"siskincove/endpoint"
)

var epoch = time.Unix(1_000_000, 0)

func TestCheck(t *testing.T) {
	history := History{}.
		With(FreshnessCertificate{Position: position(1, 10), At: epoch}).
		With(FreshnessCertificate{Position: position(1, 20), At: epoch.Add(time.Minute)})
	now := epoch.Add(2 * time.Minute)
	tests := map[string]struct {
		required Requirement
		applied  endpoint.Position
		history  History
		want     Freshness
	}{
		"no requirement":                           {applied: position(1, 1), want: Fresh},
		"position applied":                         {required: Requirement{Position: position(1, 10)}, applied: position(1, 10), want: Fresh},
		"position not applied":                     {required: Requirement{Position: position(1, 11)}, applied: position(1, 10), want: BehindToken},
		"position of a later term":                 {required: Requirement{Position: position(2, 1)}, applied: position(1, 99), want: BehindToken},
		"position of an earlier term":              {required: Requirement{Position: position(1, 99)}, applied: position(2, 1), want: Fresh},
		"within the age":                           {required: Requirement{MaxAge: time.Minute}, applied: position(1, 20), history: history, want: Fresh},
		"covers the older certificate only":        {required: Requirement{MaxAge: time.Minute}, applied: position(1, 19), history: history, want: TooOld},
		"higher age accepted":                      {required: Requirement{MaxAge: 2 * time.Minute}, applied: position(1, 19), history: history, want: Fresh},
		"covers no certificate":                    {required: Requirement{MaxAge: time.Hour}, applied: position(1, 9), history: history, want: TooOld},
		"no certificates":                          {required: Requirement{MaxAge: time.Hour}, applied: position(1, 9), want: TooOld},
		"superseded primary, no newer certificate": {required: Requirement{MaxAge: 30 * time.Second}, applied: position(1, 99), history: history, want: TooOld},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, Check(test.required, test.applied, test.history, now)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestHistoryAge compares the bounded history with one that keeps every certificate. The bounded one must never report a
// lower age.
func TestHistoryAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history History
		var all []FreshnessCertificate
		at, offset := epoch, uint64(0)
		for range rapid.IntRange(0, 3*historyMaximum).Draw(t, "certificates") {
			at = at.Add(time.Second)
			offset += rapid.Uint64Range(0, 3).Draw(t, "records")
			c := FreshnessCertificate{Position: position(1, offset), At: at}
			history, all = history.With(c), append(all, c)
		}
		if len(history.certificates) > historyMaximum {
			t.Fatalf("%d certificates kept", len(history.certificates))
		}
		applied := position(1, rapid.Uint64Range(0, offset+1).Draw(t, "applied"))
		got, known := history.Age(applied, at)
		exact, exactKnown := naiveAge(all, applied, at)
		if known && (!exactKnown || got < exact) {
			t.Fatalf("age %s, naive %s (known %t)", got, exact, exactKnown)
		}
		if len(all) <= historyMaximum && (known != exactKnown || got != exact) {
			t.Fatalf("age %s known %t, naive %s known %t", got, known, exact, exactKnown)
		}
	})
}

func naiveAge(all []FreshnessCertificate, applied endpoint.Position, now time.Time) (time.Duration, bool) {
	best, found := time.Duration(0), false
	for _, c := range all {
		if age := now.Sub(c.At); applied.Covers(c.Position) && (!found || age < best) {
			best, found = age, true
		}
	}
	return best, found
}

// TestConfirmed checks which reports count towards the majority.
func TestConfirmed(t *testing.T) {
	status := func(fenced, term, offset uint64) endpoint.Status {
		return endpoint.Status{Fenced: endpoint.FencedTerm(fenced), Log: position(term, offset)}
	}
	tests := map[string]struct {
		reports []endpoint.Status
		want    endpoint.Position
	}{
		"none":                               {},
		"one of two replicas":                {reports: []endpoint.Status{status(2, 2, 9), {}}, want: position(2, 9)},
		"one replica completes the majority": {reports: []endpoint.Status{status(2, 2, 5), status(2, 2, 9)}, want: position(2, 9)},
		"log of a lower term":                {reports: []endpoint.Status{status(2, 1, 9), {}}},
		"log of a higher term":               {reports: []endpoint.Status{status(3, 3, 9), {}}},
		"higher term promised":               {reports: []endpoint.Status{status(3, 2, 9), {}}},
		"five members, one replica":          {reports: []endpoint.Status{status(2, 2, 9), {}, {}, {}}},
		"five members, second highest":       {reports: []endpoint.Status{status(2, 2, 9), status(2, 2, 4), status(2, 2, 7), {}}, want: position(2, 7)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			members := max(len(test.reports)+1, 3)
			if diff := cmp.Diff(test.want, Confirmed(test.reports, members, 2)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestBarrier(t *testing.T) {
	tests := map[string]struct {
		logs []endpoint.Position
		want endpoint.Position
		ok   bool
	}{
		"no answers":           {},
		"minority":             {logs: []endpoint.Position{position(1, 9)}},
		"majority":             {logs: []endpoint.Position{position(1, 9), position(1, 4)}, want: position(1, 9), ok: true},
		"later term is higher": {logs: []endpoint.Position{position(1, 9), position(2, 4)}, want: position(2, 4), ok: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := Barrier(test.logs, 3)
			if diff := cmp.Diff(test.want, got); diff != "" || ok != test.ok {
				t.Errorf("ok %t\n%s", ok, diff)
			}
		})
	}
}
