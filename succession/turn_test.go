package succession

import (
	"testing"
	"time"

	"siskincove/endpoint"
	"siskincove/group"
)

// TestTurn guards against two instances that request promotions in turn (issue 53): a request under token 3 is carried out late, another instance's
// under token 5 right after it, and then this one requests again.
func TestTurn(t *testing.T) {
	at := func(after time.Duration) time.Time { return epoch.Add(after) }
	told := func(p group.Promotion) func(turn) turn {
		return func(t turn) turn { return t.WithPromotions([]group.Promotion{p}, p.At) }
	}
	requested := func(fence uint64, after time.Duration) func(turn) turn {
		return func(t turn) turn {
			return t.WithToken(fence, endpoint.FencedTerm(1000+fence)).WithRequest(fence, "r1", at(after))
		}
	}
	surveyed := func(term endpoint.FencedTerm, primary string, after time.Duration, holds ...observedHold) func(turn) turn {
		results := []ProbeResult{{Endpoint: primary, Status: &endpoint.PlatformStatus{Role: endpoint.Primary, Term: term}}}
		return func(t turn) turn { return t.WithSurvey(results, holds, at(after)) }
	}
	own := requested(3, 0)
	other := told(group.Promotion{Fence: 5, Target: "r1", At: at(time.Second)})
	ended := told(group.Promotion{Fence: 5, Target: "r1", Ended: true, At: at(2 * time.Second)})
	settled := told(group.Promotion{Fence: 5, Target: "r1", Ended: true, Settled: true, At: at(2 * time.Second)})
	hold := func(term endpoint.FencedTerm, since time.Duration) observedHold {
		return observedHold{endpoint: "r2", term: term, since: at(since)}
	}
	const until = time.Second + requestSpan + lease
	tests := map[string]struct {
		changes []func(turn) turn
		after   time.Duration
		// blocked is what is expected for a new token, and outrun for token 4.
		blocked, outrun bool
		// stale is set if token 4 is stale without being outrun.
		stale bool
	}{
		"no request":                         {after: time.Second},
		"only its own":                       {changes: []func(turn) turn{own}, after: time.Second},
		"only another's":                     {changes: []func(turn) turn{other}, after: time.Second, outrun: true},
		"another's after its own":            {changes: []func(turn) turn{own, other}, after: time.Second, blocked: true, outrun: true},
		"told before its own":                {changes: []func(turn) turn{other, own}, after: time.Second, blocked: true, outrun: true},
		"just before the end of the lease":   {changes: []func(turn) turn{own, other}, after: until - 1, blocked: true, outrun: true},
		"the lease has passed":               {changes: []func(turn) turn{own, other}, after: until},
		"it requested last":                  {changes: []func(turn) turn{own, other, requested(6, 0)}, after: time.Second, outrun: true},
		"a lower token of another":           {changes: []func(turn) turn{own, told(group.Promotion{Fence: 2, At: epoch})}, after: time.Second},
		"a third one requested after it":     {changes: []func(turn) turn{own, other, requested(6, 0), told(group.Promotion{Fence: 7, At: at(time.Second)})}, after: time.Second, blocked: true, outrun: true},
		"its own is too old to be executed":  {changes: []func(turn) turn{requested(3, -group.MaxPromotionAge), other}, after: 0, outrun: true},
		"its own had no effect":              {changes: []func(turn) turn{own, other, func(t turn) turn { return t.WithRequest(3, "r1", time.Time{}) }}, after: time.Second, outrun: true},
		"its own is told back":               {changes: []func(turn) turn{own, told(group.Promotion{Fence: 3, At: at(time.Second)})}, after: time.Second},
		"a token taken but not used":         {changes: []func(turn) turn{func(t turn) turn { return t.WithToken(3, 0) }, other}, after: time.Second, outrun: true},
		"the other's has ended":              {changes: []func(turn) turn{own, other, ended}, after: 2*time.Second + requestSpan + lease - 1, blocked: true, outrun: true},
		"the other's has taken effect":       {changes: []func(turn) turn{own, settled}, after: 2*time.Second + lease - 1, blocked: true, outrun: true},
		"the other's took effect long ago":   {changes: []func(turn) turn{own, settled}, after: 2*time.Second + lease, stale: true},
		"refused for a higher token":         {changes: []func(turn) turn{own, requested(4, 0), func(t turn) turn { return t.WithRequest(4, "r1", time.Time{}).WithRefusal(4, at(time.Second)) }}, after: time.Second, blocked: true, outrun: true},
		"refused, but never requested":       {changes: []func(turn) turn{func(t turn) turn { return t.WithToken(3, 0).WithRefusal(3, at(time.Second)) }}, after: time.Second},
		"refused a lease ago":                {changes: []func(turn) turn{own, func(t turn) turn { return t.WithRefusal(3, at(time.Second)) }}, after: time.Second + lease},
		"its target leads":                   {changes: []func(turn) turn{surveyed(1, "p", 0), own, surveyed(2, "r1", time.Second)}, after: time.Second},
		"another endpoint leads":             {changes: []func(turn) turn{surveyed(1, "p", 0), own, surveyed(2, "r2", time.Second)}, after: time.Second, blocked: true},
		"the same endpoint leads as before":  {changes: []func(turn) turn{surveyed(1, "p", 0), own, surveyed(1, "p", time.Second)}, after: time.Second},
		"the first survey":                   {changes: []func(turn) turn{own, surveyed(2, "r2", time.Second)}, after: time.Second},
		"another's hold since":               {changes: []func(turn) turn{own, surveyed(1, "p", 0, hold(2000, time.Second))}, after: time.Second, blocked: true},
		"another's hold since, a lease ago":  {changes: []func(turn) turn{own, surveyed(1, "p", 0, hold(2000, time.Second))}, after: time.Second + lease},
		"another's hold before its request":  {changes: []func(turn) turn{own, surveyed(1, "p", 0, hold(2000, -time.Second))}, after: time.Second},
		"its own hold":                       {changes: []func(turn) turn{own, surveyed(1, "p", 0, hold(1003, time.Second))}, after: time.Second},
		"another's hold, it never requested": {changes: []func(turn) turn{surveyed(1, "p", 0, hold(2000, time.Second))}, after: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var turn turn
			for _, change := range test.changes {
				turn = change(turn)
			}
			if why := turn.BlockedBy(at(test.after)); (why != "") != test.blocked {
				t.Errorf("blocked by %q, want blocked %v", why, test.blocked)
			}
			if got := turn.Outrun(4, at(test.after)); got != test.outrun {
				t.Errorf("outrun %v, want %v", got, test.outrun)
			}
			if got, want := turn.Stale(4, at(test.after)), test.outrun || test.stale; got != want {
				t.Errorf("stale %v, want %v", got, want)
			}
		})
	}
}
