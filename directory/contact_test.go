package directory

import (
	"testing"
	"time"
)

// TestContact guards against reads that move to another instance after a single call that failed, that move to and fro while the store
// answers some calls and not others, and that stay with an instance that the store does not answer.
func TestContact(t *testing.T) {
	type step struct {
		after time.Duration
		// failed is set if the call failed, and overdue is how long before it was due to be answered.
		failed  bool
		overdue time.Duration
	}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	tests := map[string]struct {
		steps []step
		want  bool
	}{
		"no call":               {},
		"answered":              {steps: []step{{after: ms(100)}}},
		"one refusal":           {steps: []step{{after: ms(100)}, {after: ms(200), failed: true}}},
		"refusals":              {steps: []step{{after: ms(100), failed: true}, {after: ms(300), failed: true}, {after: ms(700), failed: true}}, want: true},
		"refusals, one answer":  {steps: []step{{after: ms(100), failed: true}, {after: ms(300)}, {after: ms(700), failed: true}}},
		"a call given up":       {steps: []step{{after: ms(4500), failed: true, overdue: ms(1500)}}, want: true},
		"a long poll refused":   {steps: []step{{after: ms(100), failed: true, overdue: -ms(2900)}}},
		"answered again":        {steps: []step{{after: ms(4500), failed: true, overdue: ms(1500)}, {after: ms(4600)}}, want: true},
		"answered again, twice": {steps: []step{{after: ms(4500), failed: true, overdue: ms(1500)}, {after: ms(4600)}, {after: ms(7300)}}},
		"answered now and then": {
			steps: []step{{after: ms(4500), failed: true, overdue: ms(1500)}, {after: ms(4600)}, {after: ms(6500), failed: true}, {after: ms(6700)}}, want: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := contact{}
			for _, s := range test.steps {
				now := epoch.Add(s.after)
				if s.failed {
					c = c.withFailure(now.Add(-s.overdue), now)
				} else {
					c = c.withAnswer(now)
				}
			}
			if c.lost != test.want {
				t.Errorf("lost: %v", c.lost)
			}
		})
	}
}
