package simulation

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"
)

// try is one try of a caller: when it came, how long its answer took, and when it was told to come back.
type try struct {
	at, took, after time.Duration
	served          bool
}

// timed is a policy whose tries are written down.
type timed struct {
	Policy
	started time.Time
	mu      sync.Mutex
	tries   []try
}

// Serve runs the request and writes down how long its answer took.
func (p *timed) Serve(ctx context.Context, instance int, r Request) (bool, time.Duration) {
	from := time.Now()
	served, after := p.Policy.Serve(ctx, instance, r)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tries = append(p.tries, try{at: from.Sub(p.started), took: time.Since(from), after: after, served: served})
	return served, after
}

// atOnce is the longest time in which a refusal counts as given at once: a few statements' time.
const atOnce = 100 * time.Millisecond

// between returns how long the refused tries of a time took, and when they were told to come back, both in order.
func (p *timed) between(from, to time.Duration) (took, after []time.Duration) {
	for _, t := range p.tries {
		if t.at >= from && t.at < to && !t.served {
			took, after = append(took, t.took), append(after, t.after)
		}
	}
	slices.Sort(took)
	slices.Sort(after)
	return took, after
}

// TestNoPrimary answers the pattern of a group that has no endpoint left for 16 s: once that is longer than a failover takes,
// requests are refused at once with a time to come back that spreads them, and within 2 s of the return all is as before.
func TestNoPrimary(t *testing.T) {
	var tries *timed
	gone := scenario{
		duration: 26 * time.Second, rate: steady(0.4 * capacity),
		wrap: func(p Policy) Policy {
			tries = &timed{Policy: p, started: time.Now()}
			return tries
		},
		events: func(g *Group, _ Policy) map[time.Duration]func() {
			all := func(away bool) func() {
				return func() {
					for _, e := range g.Endpoints {
						e.SetDown(away)
					}
				}
			}
			return map[time.Duration]func(){4 * time.Second: all(true), 20 * time.Second: all(false)}
		},
	}
	play(t, gone, false, func(g *Group, all []Outcome) {
		took, after := tries.between(10*time.Second, 19*time.Second)
		if held := quantile(took, 0.99); held > atOnce {
			t.Errorf("1%% of those refused were held for %s or longer", held)
		}
		if first, last := quantile(after, 0.05), quantile(after, 0.95); last < first+500*time.Millisecond {
			t.Errorf("nine of ten refused are told to come back within %s of each other", last-first)
		}
		back := summarize(g, all, 22*time.Second, 26*time.Second)
		t.Logf("after %+v", back)
		if back.share() < 0.98 {
			t.Errorf("%.3f are answered in their aim from 2 s after the return on", back.share())
		}
	})
}
