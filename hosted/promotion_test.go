package hosted

import (
	"testing"
	"time"

	"siskincove/standin/hosting"
)

// TestReturnsDuringPromotion guards against the loss of acknowledged commits (issue 47, review case 2): the platform takes a second for a
// promotion; meanwhile the other replica restarts, which ends its hold, and the old primary is back, and both together acknowledge
// commits that the promoted log lacks.
func TestReturnsDuringPromotion(t *testing.T) {
	tests := map[string]struct {
		// replicaAway and primaryAway are how long after the request the endpoints are back.
		replicaAway, primaryAway time.Duration
	}{
		"the replica is back first": {replicaAway: 100 * time.Millisecond, primaryAway: 250 * time.Millisecond},
		"the primary is back first": {replicaAway: 350 * time.Millisecond, primaryAway: 200 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 3)
			d.group.SetPromotionDelay(time.Second)
			lost := d.group.Primary()
			writers := []*writer{d.startWriter(0), d.startWriter(1), d.startWriter(2)}
			d.eventually("coordinators have reserved fencing tokens", func() bool {
				return len(d.store.Rows("fences")) == 1 && writers[0].acknowledged() > 20
			})
			time.Sleep(4500 * time.Millisecond)
			lost.Crash()
			d.eventually("a promotion is requested", func() bool { return len(d.promotion.Requests()) > 0 })
			target := d.promotion.Requests()[0].ID
			restart := func(e *hosting.Endpoint, after time.Duration) {
				time.Sleep(after)
				if err := e.Restart(); err != nil {
					t.Error(err)
				}
			}
			for _, e := range d.group.Members() {
				if e != lost && e.ID() != target {
					e.Crash()
					go restart(e, test.replicaAway)
				}
			}
			go restart(lost, test.primaryAway)
			d.eventually("another endpoint is primary", func() bool {
				p := d.group.Primary()
				return p != nil && p != lost
			})
			before := writers[0].acknowledged()
			d.eventually("writes are acknowledged again", func() bool { return writers[0].acknowledged() > before+20 })
			for _, e := range d.group.Members() {
				d.eventually("replicas are released from their holds", func() bool { return e.HeldTerm() == 0 })
			}
			d.checkWrites(writers...)
		})
	}
}
