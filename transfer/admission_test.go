package transfer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestAdmission checks who is served, and that a receiver that has gone does not keep its place.
func TestAdmission(t *testing.T) {
	const large = 10 * RequestBytes
	type request struct {
		receiver string
		missing  int
		after    time.Duration
	}
	tests := map[string]struct {
		before []request
		ask    request
		served bool
	}{
		"first":                      {nil, request{"a", large, 0}, true},
		"second":                     {[]request{{"a", large, 0}}, request{"b", large, 0}, true},
		"one too many":               {[]request{{"a", large, 0}, {"b", large, 0}}, request{"c", large, 0}, false},
		"served before":              {[]request{{"a", large, 0}, {"b", large, 0}}, request{"a", large - RequestBytes, 0}, true},
		"small change":               {[]request{{"a", large, 0}, {"b", large, 0}}, request{"c", RequestBytes, 0}, true},
		"place of one that has gone": {[]request{{"a", large, 0}, {"b", large, 0}}, request{"c", large, idleLimit}, true},
		"place of one that is done":  {[]request{{"a", large, 0}, {"b", large, 0}, {"a", RequestBytes, 0}}, request{"c", large, 0}, true},
		"newer version":              {[]request{{"a", large, 0}, {"b", large, 0}}, request{"a", 2 * large, 0}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a, now := Admission{}, start
			for _, r := range append(test.before, test.ask) {
				now = now.Add(r.after)
				var wait time.Duration
				a, wait = a.With(r.receiver, r.missing, now)
				if r == test.ask && (wait == 0) != test.served {
					t.Errorf("wait of %s, served should be %t", wait, test.served)
				}
			}
		})
	}
}

// TestAdmissionWaits checks that a refused receiver gets a time within the bounds, whatever was asked before, and that a sender never
// serves more receivers with much to get than it has places.
func TestAdmissionWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, now := Admission{}, start
		asked := make(map[string]time.Time)
		for range rapid.IntRange(1, 50).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			receiver := fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "receiver"))
			missing := rapid.IntRange(0, 4*RequestBytes).Draw(t, "missing")
			var wait time.Duration
			a, wait = a.With(receiver, missing, now)
			if wait != 0 && (wait < minWait || wait > maxWait) {
				t.Errorf("told to wait for %s", wait)
			}
			delete(asked, receiver)
			if wait == 0 && missing > RequestBytes {
				asked[receiver] = now
			}
			served := 0
			for _, at := range asked {
				if now.Sub(at) < idleLimit {
					served++
				}
			}
			if served > receivers {
				t.Errorf("%d receivers are served, want at most %d", served, receivers)
			}
		}
	})
}
