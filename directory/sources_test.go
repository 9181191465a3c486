package directory

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"siskincove/meter"
)

// TestSources checks which peer is asked for a newer directory, and when.
func TestSources(t *testing.T) {
	now := time.Unix(1000, 0)
	source := func(address string, distance meter.Distance, version uint64, delay time.Duration) Source {
		return Source{Address: address, Distance: distance, Versions: Versions{Configuration: version}, NotBefore: now.Add(delay)}
	}
	near, far := meter.SameDomain, meter.OtherRegion
	type answer struct {
		Address string
		Wait    time.Duration
		Pending bool
	}
	tests := map[string]struct {
		announced []Source
		change    func(s Sources) Sources
		want      answer
	}{
		"nobody":                         {want: answer{}},
		"nothing newer":                  {announced: []Source{source("a", near, 5, 0)}, want: answer{}},
		"nearest first":                  {announced: []Source{source("b", far, 7, 0), source("a", near, 6, 0)}, want: answer{"a", 0, true}},
		"newest of equally near ones":    {announced: []Source{source("a", near, 6, 0), source("b", near, 7, 0)}, want: answer{"b", 0, true}},
		"longest free of equal ones":     {announced: []Source{source("a", near, 6, 0), source("b", near, 6, -time.Second)}, want: answer{"b", 0, true}},
		"far one waits":                  {announced: []Source{source("a", far, 6, 300*time.Millisecond)}, want: answer{"", 300 * time.Millisecond, true}},
		"far one if near ones wait":      {announced: []Source{source("a", near, 6, time.Second), source("b", far, 6, 0)}, want: answer{"b", 0, true}},
		"announced again":                {announced: []Source{source("a", far, 6, 0), source("a", far, 6, time.Second)}, want: answer{"a", 0, true}},
		"newer version of the same":      {announced: []Source{source("a", near, 4, 0), source("a", near, 6, 0)}, want: answer{"a", 0, true}},
		"older message arrives later":    {announced: []Source{source("a", near, 6, 0), source("a", near, 4, 0)}, want: answer{"a", 0, true}},
		"told to wait":                   {announced: []Source{source("a", near, 6, 0)}, change: pauseUntil("a", now.Add(time.Minute)), want: answer{"", time.Minute, true}},
		"failed":                         {announced: []Source{source("a", near, 6, 0)}, change: func(s Sources) Sources { return s.Without("a") }, want: answer{}},
		"pause of a peer that was lost":  {announced: []Source{source("a", near, 6, 0)}, change: pauseUntil("b", now.Add(time.Minute)), want: answer{"a", 0, true}},
		"forgotten once it is not newer": {announced: []Source{source("a", near, 6, 0)}, change: func(s Sources) Sources { return s.Newer(Versions{Configuration: 6}) }, want: answer{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s Sources
			for _, a := range test.announced {
				s = s.With(a)
			}
			if test.change != nil {
				s = test.change(s)
			}
			next, wait, pending := s.Next(Versions{Configuration: 5}, now)
			if diff := cmp.Diff(test.want, answer{next.Address, wait, pending}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func pauseUntil(address string, until time.Time) func(s Sources) Sources {
	return func(s Sources) Sources { return s.WithPause(address, until) }
}

// TestSourcesBounded checks that any announcements leave at most maxSources, and among them a peer of the own failure domain if one was
// announced.
func TestSourcesBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		distances := []meter.Distance{meter.SameDomain, meter.SameRegion, meter.OtherRegion, meter.UnknownDistance}
		var s Sources
		near := false
		for _, address := range rapid.SliceOfN(rapid.StringMatching(`[a-z]{2}`), 0, 3*maxSources).Draw(t, "addresses") {
			distance := rapid.SampledFrom(distances).Draw(t, "distance")
			if known, ok := s.all[address]; ok {
				distance = known.Distance
			}
			s = s.With(Source{Address: address, Distance: distance, Versions: Versions{Configuration: 2}})
			near = near || distance == meter.SameDomain
		}
		if len(s.all) > maxSources {
			t.Errorf("%d sources", len(s.all))
		}
		if next, _, _ := s.Next(Versions{Configuration: 1}, time.Unix(1000, 0)); near && next.Distance != meter.SameDomain {
			t.Errorf("next source is at distance %q", next.Distance)
		}
	})
}
