package hosted

import (
	"sync"
	"sync/atomic"
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

// TestReturnsAfterKill guards against the loss of acknowledged commits (harness late): the coordinator that has requested a promotion ends, the
// platform carries the request out 2.2 s later, and meanwhile the old primary is back and the other replica restarts.
func TestReturnsAfterKill(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3)
	lost := d.group.Primary()
	knows := func(i *Instance) (string, bool) {
		db, _ := i.databases.Get("g")
		p, outstanding := db.View().OutstandingPromotion(i.options.Clock.Now())
		return p.Target, outstanding && p.Replaced == lost.ID()
	}
	// known is how many instances knew of the promotion when its first request arrived.
	var first sync.Once
	var known atomic.Int32
	d.promotion.SetFaults(hosting.PromotionFaults{LoseAnswers: 100, Delay: 2200 * time.Millisecond, OnRequest: func(string) {
		first.Do(func() {
			for _, i := range d.instances {
				if _, ok := knows(i); ok {
					known.Add(1)
				}
			}
		})
	}})
	writers := []*writer{d.startWriter(0), d.startWriter(1), d.startWriter(2)}
	d.eventually("coordinators have reserved fencing tokens", func() bool {
		return len(d.store.Rows("fences")) == 1 && writers[0].acknowledged() > 20
	})
	time.Sleep(4500 * time.Millisecond)
	var requester *Instance
	others := 0
	for n, i := range d.instances {
		if rank, ok := i.coordinators.Rank("g"); ok && rank == 0 {
			requester = i
		} else {
			others = n
		}
	}
	lost.Crash()
	var target string
	d.eventually("another instance knows of the promotion", func() bool {
		var ok bool
		target, ok = knows(d.instances[others])
		return ok && known.Load() > 0
	})
	if known.Load() < 2 {
		t.Error("the promotion was requested before another instance knew of it")
	}
	requester.Close()
	time.Sleep(700 * time.Millisecond)
	if err := lost.Restart(); err != nil {
		t.Fatal(err)
	}
	d.eventually("the old primary is demoted", func() bool { return d.group.Primary() == nil })
	if requests := d.promotion.Requests(); len(requests) > 0 {
		t.Errorf("promotion of %s was carried out before the old primary was demoted", requests[0].ID)
	}
	for _, e := range d.group.Members() {
		if e != lost && e.ID() != target {
			e.Crash()
			time.Sleep(200 * time.Millisecond)
			if err := e.Restart(); err != nil {
				t.Fatal(err)
			}
		}
	}
	d.eventually("another endpoint is primary", func() bool {
		p := d.group.Primary()
		return p != nil && p != lost
	})
	before := writers[others].acknowledged()
	d.eventually("writes are acknowledged again", func() bool { return writers[others].acknowledged() > before+20 })
	d.checkWrites(writers...)
}
