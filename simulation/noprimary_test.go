package simulation

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"
)

// attempt is one call of Serve: its start, the time until the answer and the delay before a retry, if refused.
type attempt struct {
	at, took, retryAfter time.Duration
	served               bool
}

// recordingPolicy records the attempts made with a policy.
type recordingPolicy struct {
	Policy
	started  time.Time
	mu       sync.Mutex
	attempts []attempt
}

// Serve runs the request and records the attempt.
func (p *recordingPolicy) Serve(ctx context.Context, instance int, r Request) (bool, time.Duration) {
	from := time.Now()
	served, after := p.Policy.Serve(ctx, instance, r)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts = append(p.attempts, attempt{at: from.Sub(p.started), took: time.Since(from), retryAfter: after, served: served})
	return served, after
}

// maxPromptRefusal is the latency up to which a refusal counts as prompt: a few service times.
const maxPromptRefusal = 100 * time.Millisecond

// refusalsBetween returns the latencies of the attempts that started in the interval and were refused, and the delays
// after which they may retry, each sorted.
func (p *recordingPolicy) refusalsBetween(from, to time.Duration) (latencies, delays []time.Duration) {
	for _, t := range p.attempts {
		if t.at >= from && t.at < to && !t.served {
			latencies, delays = append(latencies, t.took), append(delays, t.retryAfter)
		}
	}
	slices.Sort(latencies)
	slices.Sort(delays)
	return latencies, delays
}

// TestNoPrimary guards against requests that queue during a long outage and against a retry storm after it. All endpoints
// are down for 16 s: once that exceeds the duration of a failover, requests are refused promptly, their retry delays are
// spread out, and service is back to normal 2 s after the endpoints return.
func TestNoPrimary(t *testing.T) {
	var recorder *recordingPolicy
	outage := testScenario{
		duration: 26 * time.Second, rate: constantRate(0.4 * capacity),
		wrap: func(p Policy) Policy {
			recorder = &recordingPolicy{Policy: p, started: time.Now()}
			return recorder
		},
		events: func(g *Group, _ Policy) map[time.Duration]func() {
			setAll := func(down bool) func() {
				return func() {
					for _, e := range g.Endpoints {
						e.SetDown(down)
					}
				}
			}
			return map[time.Duration]func(){4 * time.Second: setAll(true), 20 * time.Second: setAll(false)}
		},
	}
	runScenario(t, outage, false, func(g *Group, all []Outcome) {
		latencies, delays := recorder.refusalsBetween(10*time.Second, 19*time.Second)
		if slowest := quantile(latencies, 0.99); slowest > maxPromptRefusal {
			t.Errorf("1%% of the refused requests waited for %s or longer", slowest)
		}
		if first, last := quantile(delays, 0.05), quantile(delays, 0.95); last < first+500*time.Millisecond {
			t.Errorf("90%% of the retry delays lie within %s of each other", last-first)
		}
		recovered := summarize(g, all, 22*time.Second, 26*time.Second)
		t.Logf("after %+v", recovered)
		if recovered.onTimeShare() < 0.98 {
			t.Errorf("%.3f answered within the target latency from 2 s after the endpoints return", recovered.onTimeShare())
		}
	})
}
