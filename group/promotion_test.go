package group

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"siskincove/endpoint"
)

// TestIsBeingReplaced guards against writes that a primary acknowledges although the promotion of another endpoint is outstanding, and
// against refusing writes for good once the notice of its end is lost.
func TestIsBeingReplaced(t *testing.T) {
	requested := Promotion{Fence: 5, Newest: 1, Replaced: "p", Target: "r1", At: epoch}
	with := func(change func(p *Promotion)) Promotion {
		p := requested
		change(&p)
		return p
	}
	ended := with(func(p *Promotion) { p.Ended = true })
	settled := func(fence uint64) Promotion {
		return Promotion{Fence: fence, Target: "r2", Ended: true, Settled: true, At: epoch}
	}
	tests := map[string]struct {
		promotions []Promotion
		// term is the term that p leads, 1 if it is 0.
		term  endpoint.LogTerm
		after time.Duration
		want  bool
	}{
		"none":                          {},
		"requested":                     {promotions: []Promotion{requested}, want: true},
		"ended":                         {promotions: []Promotion{requested, ended}},
		"requested, told late":          {promotions: []Promotion{ended, requested}},
		"requested again by another":    {promotions: []Promotion{requested, ended, with(func(p *Promotion) { p.Fence++ })}, want: true},
		"the end of an older one":       {promotions: []Promotion{with(func(p *Promotion) { p.Fence++ }), ended}, want: true},
		"the old primary is the target": {promotions: []Promotion{with(func(p *Promotion) { p.Target = "p" })}},
		// The platform may not have seen the newer one.
		"the end of a newer one":         {promotions: []Promotion{requested, with(func(p *Promotion) { p.Fence, p.Ended = 6, true })}, want: true},
		"a newer one is settled":         {promotions: []Promotion{requested, settled(6)}},
		"a newer one was settled before": {promotions: []Promotion{settled(6), requested}},
		"an older one is settled":        {promotions: []Promotion{requested, settled(4)}, want: true},
		// A primary may return under another name.
		"another name was known":          {promotions: []Promotion{with(func(p *Promotion) { p.Replaced = "r2" })}, want: true},
		"another name, a newer term":      {promotions: []Promotion{with(func(p *Promotion) { p.Replaced = "r2" })}, term: 2},
		"the old primary, a newer term":   {promotions: []Promotion{requested}, term: 2, want: true},
		"another name, no term was known": {promotions: []Promotion{with(func(p *Promotion) { p.Replaced, p.Newest = "r2", 0 })}, term: 2, want: true},
		"no primary was known":            {promotions: []Promotion{with(func(p *Promotion) { p.Replaced = "" })}, want: true},
		"the end is lost, a while later":  {promotions: []Promotion{requested}, after: MaxPromotionAge - time.Millisecond, want: true},
		"the end is lost, after its time": {promotions: []Promotion{requested}, after: MaxPromotionAge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := viewLedByP()
			if test.term != 0 {
				v = v.WithLead("p", endpoint.Position{Term: test.term, Offset: 11}, epoch)
			}
			for _, p := range test.promotions {
				v = v.WithPromotion(p)
			}
			now := epoch.Add(test.after)
			if diff := cmp.Diff(test.want, v.IsBeingReplaced("p", now)); diff != "" {
				t.Error(diff)
			}
			if chosen := v.Choose(Query{PrimaryOnly: true, Writes: true}, members, noneInFlight, now); test.want != (len(chosen) == 0) {
				t.Errorf("chosen for a write: %+v", chosen)
			}
			if chosen := v.Choose(Query{PrimaryOnly: true}, members, noneInFlight, now); len(chosen) != 1 {
				t.Errorf("chosen for a read: %+v", chosen)
			}
		})
	}
}

// TestIsOtherOutstanding guards against leaving a primary alone that another promotion may replace.
func TestIsOtherOutstanding(t *testing.T) {
	tests := map[string]struct {
		promotions []Promotion
		want       bool
	}{
		"none":              {},
		"itself":            {promotions: []Promotion{{Fence: 5, At: epoch}}},
		"a lower one":       {promotions: []Promotion{{Fence: 5, At: epoch}, {Fence: 4, At: epoch}}, want: true},
		"a higher one":      {promotions: []Promotion{{Fence: 5, At: epoch}, {Fence: 6, At: epoch}}, want: true},
		"one that is ended": {promotions: []Promotion{{Fence: 5, At: epoch}, {Fence: 4, At: epoch, Ended: true}}},
		"an old one":        {promotions: []Promotion{{Fence: 5, At: epoch}, {Fence: 4, At: epoch.Add(-MaxPromotionAge)}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := viewLedByP()
			for _, p := range test.promotions {
				v = v.WithPromotion(p)
			}
			if got := v.IsOtherOutstanding(5, epoch); got != test.want {
				t.Errorf("outstanding: %t", got)
			}
		})
	}
}

// TestPromotionOrder checks that instances which were told the same in different orders know the same.
func TestPromotionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Promotion {
			p := Promotion{Fence: rapid.Uint64Range(1, 4).Draw(t, "fence"), Ended: rapid.Bool().Draw(t, "ended"), Replaced: "p"}
			p.Settled = p.Ended && rapid.Bool().Draw(t, "settled")
			p.Target = members[p.Fence%uint64(len(members))].Name
			return p
		})).Draw(t, "told")
		know := func(in []Promotion) []Promotion {
			v := View{}
			for _, p := range in {
				v = v.WithPromotion(p)
			}
			return v.Promotions()
		}
		if diff := cmp.Diff(know(told), know(rapid.Permutation(told).Draw(t, "other order"))); diff != "" {
			t.Error(diff)
		}
	})
}

// TestManyPromotions guards against an outstanding promotion that is forgotten for later ones which have ended: instances would send writes to the
// primary that it replaces.
func TestManyPromotions(t *testing.T) {
	v := View{}.WithPromotion(Promotion{Fence: 1, Replaced: "p", Target: "r1", At: epoch})
	for fence := range uint64(2 * maxPromotions) {
		v = v.WithPromotion(Promotion{Fence: 2 + fence, Target: "p", Ended: true, At: epoch})
	}
	if got := len(v.Promotions()); got != maxPromotions {
		t.Errorf("%d promotions are kept, want %d", got, maxPromotions)
	}
	if !v.IsBeingReplaced("p", epoch) {
		t.Error("the outstanding promotion is forgotten")
	}
	if newest := v.Promotions()[0].Fence; newest != 1+2*maxPromotions {
		t.Errorf("the newest promotion has token %d, want %d", newest, 1+2*maxPromotions)
	}
}
