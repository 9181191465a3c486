package database

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/group"
)

// TestWithPromotions guards against heartbeats that go through thousands of databases for the few that have promotions, and against
// promotions that are told for good.
func TestWithPromotions(t *testing.T) {
	requested := group.Promotion{Fence: 1, Replaced: "p", Target: "r"}
	tests := map[string]struct {
		ended bool
		after time.Duration
		want  []string
	}{
		"requested":               {want: []string{"b"}},
		"requested, long ago":     {after: group.MaxPromotionAge},
		"ended":                   {ended: true, want: []string{"b"}},
		"ended, a few seconds on": {ended: true, after: 5 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := NewRegistry(Options{Clock: clock.System{}, Logger: event.Discard(), DrainTime: func() time.Duration { return time.Minute }})
				r.Configure(config.NewCatalog(config.Set{Databases: []config.Database{{Name: "a"}, {Name: "b"}, {Name: "c"}}}), nil, 1)
				b, _ := r.Get("b")
				p := requested
				p.Ended, p.At = test.ended, time.Now()
				b.RecordPromotion(p)
				time.Sleep(test.after)
				var got []string
				for _, d := range r.WithPromotions() {
					got = append(got, d.Name())
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}
