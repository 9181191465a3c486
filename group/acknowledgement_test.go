package group

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"siskincove/endpoint"
)

// TestAcknowledged guards against a succession that promotes a log shorter than what callers were told (issue 53), and against one that
// waits for good for a position that is lost.
func TestAcknowledged(t *testing.T) {
	type told struct {
		position endpoint.Position
		after    time.Duration
	}
	const minute = time.Minute
	tests := map[string]struct {
		told []told
		now  time.Duration
		want endpoint.Position
	}{
		"none":                                {},
		"without a position":                  {told: []told{{}}},
		"one":                                 {told: []told{{position: at(1, 7)}}, want: at(1, 7)},
		"the highest of several":              {told: []told{{position: at(1, 7)}, {position: at(1, 9)}, {position: at(1, 8)}}, want: at(1, 9)},
		"a higher term":                       {told: []told{{position: at(1, 9)}, {position: at(2, 3)}}, want: at(2, 3)},
		"a higher term, told first":           {told: []told{{position: at(2, 3)}, {position: at(1, 9)}}, want: at(2, 3)},
		"nearly a minute ago":                 {told: []told{{position: at(1, 7)}}, now: minute - 1, want: at(1, 7)},
		"a minute ago":                        {told: []told{{position: at(1, 7)}}, now: minute},
		"the same position again":             {told: []told{{position: at(1, 7)}, {at(1, 7), time.Second}}, now: minute, want: at(1, 7)},
		"the highest is too old":              {told: []told{{position: at(1, 9)}, {at(1, 8), time.Second}}, now: minute, want: at(1, 8)},
		"the highest is too old, told late":   {told: []told{{at(1, 8), time.Second}, {position: at(1, 9)}}, now: minute, want: at(1, 8)},
		"an old one after a minute's silence": {told: []told{{position: at(1, 9)}, {at(1, 8), minute}}, now: minute, want: at(1, 8)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var v View
			for _, a := range test.told {
				v = v.WithAcknowledged(a.position, epoch.Add(a.after))
			}
			if diff := cmp.Diff(test.want, v.Acknowledged(epoch.Add(test.now))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestAcknowledgedAnyOrder checks against all that was told, in any order and with any delay, that the highest position of the last minute is
// known, exactly as long as few are known, and that it is never too low.
func TestAcknowledgedAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Acknowledgement {
			return Acknowledgement{
				Position: at(rapid.Uint64Range(1, 3).Draw(t, "term"), rapid.Uint64Range(1, 30).Draw(t, "offset")),
				At:       epoch.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "second")) * time.Second),
			}
		}), 1, 40).Draw(t, "told")
		var v View
		var latest time.Time
		for n, a := range told {
			before := v
			known := before.Acknowledged(a.At)
			v = v.WithAcknowledged(a.Position, a.At)
			if diff := cmp.Diff(known, before.Acknowledged(a.At)); diff != "" {
				t.Fatalf("the view before has changed: %s", diff)
			}
			if a.At.After(latest) {
				latest = a.At
			}
			for _, now := range []time.Time{latest, latest.Add(30 * time.Second), latest.Add(maxAcknowledgementAge - 1)} {
				want := highest(told[:n+1], now)
				got := v.Acknowledged(now)
				if !got.Covers(want) || n < maxAcknowledgements && got != want {
					t.Fatalf("after %d: %s, want %s", n+1, got, want)
				}
			}
			if got := v.Acknowledged(latest.Add(maxAcknowledgementAge)); got != (endpoint.Position{}) {
				t.Fatalf("%s still counts a minute later", got)
			}
		}
	})
}

// highest returns the highest position acknowledged in the minute before now.
func highest(told []Acknowledgement, now time.Time) endpoint.Position {
	var out endpoint.Position
	for _, a := range told {
		if now.Sub(a.At) < maxAcknowledgementAge {
			out = out.Max(a.Position)
		}
	}
	return out
}

// TestAcknowledgementsBounded guards against views that grow while positions arrive in falling order, and against a highest position that
// is too low since others were dropped.
func TestAcknowledgementsBounded(t *testing.T) {
	const count, step = 1000, 50 * time.Millisecond
	var v View
	var told []Acknowledgement
	for n := range count {
		a := Acknowledgement{Position: at(1, uint64(count-n)), At: epoch.Add(time.Duration(n) * step)}
		told, v = append(told, a), v.WithAcknowledged(a.Position, a.At)
	}
	if len(v.acknowledgements) > maxAcknowledgements {
		t.Errorf("%d acknowledgements are kept", len(v.acknowledgements))
	}
	last := told[count-1].At
	for now := last; now.Before(last.Add(maxAcknowledgementAge)); now = now.Add(time.Second) {
		if got, want := v.Acknowledged(now), highest(told, now); !got.Covers(want) {
			t.Fatalf("%s after the last: %s, want at least %s", now.Sub(last), got, want)
		}
	}
	if got := v.Acknowledged(last.Add(maxAcknowledgementAge)); got != (endpoint.Position{}) {
		t.Errorf("%s still counts a minute later", got)
	}
}
