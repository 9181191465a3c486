package hosted

import (
	"slices"
	"testing"
	"time"

	"siskincove/group"
	"siskincove/standin/hosting"
)

// turnLease is the platform's lease-ms.
const turnLease = 3 * time.Second

// TestCoordinatorsTakeNoTurns guards against two holders that promote in turn (issue 53): the platform leaves all requests unanswered and carries
// them out late, the second coordinator takes over from the first, and then the first, whose requests may still take effect, requested again.
func TestCoordinatorsTakeNoTurns(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	reserved := func(next string) func() bool {
		return func() bool { return string(d.store.Rows("fences")["g"]) == next }
	}
	d.eventually("both coordinators have reserved fencing tokens", reserved("3"))
	first := 0
	if rank, _ := d.instances[0].coordinators.Rank("g"); rank != 0 {
		first = 1
	}
	// The second coordinator reserves its token again, so that it is above that of the first.
	d.instances[1-first].Close()
	d.start(1 - first)
	d.eventually("the second coordinator has reserved a higher token", reserved("4"))
	w := d.startWriter(first)
	d.eventually("writes are acknowledged", func() bool { return w.acknowledged() > 20 })
	time.Sleep(4500 * time.Millisecond)
	d.promotion.SetFaults(hosting.PromotionFaults{Withhold: true})
	lost := d.group.Primary()
	lost.Crash()
	d.eventually("the second coordinator has taken over", func() bool { return len(holders(d.promotion.Withheld())) == 2 })
	time.Sleep(4 * time.Second)
	d.promotion.Release()
	d.eventually("another endpoint is primary", func() bool {
		p := d.group.Primary()
		return p != nil && p != lost
	})
	before := w.acknowledged()
	d.eventually("writes are acknowledged again", func() bool { return w.acknowledged() > before+20 })
	checkTurns(t, d.promotion.Requests())
	d.checkWrites(w)
}

// holders returns the holders of requests, each once for all its requests in a row.
func holders(requests []hosting.PromotionRequest) []string {
	var out []string
	for _, r := range requests {
		if len(out) == 0 || out[len(out)-1] != r.Holder {
			out = append(out, r.Holder)
		}
	}
	return out
}

// checkTurns fails the test if a holder's request was accepted within the lease after one of its own, with another holder's in between.
func checkTurns(t *testing.T, requests []hosting.PromotionRequest) {
	t.Helper()
	last := make(map[string]time.Time)
	holder := ""
	for _, r := range requests {
		if r.Status != 200 {
			continue
		}
		if at, ok := last[r.Holder]; ok && r.Holder != holder && r.At.Sub(at) < turnLease {
			t.Errorf("%s acted again %s after its last request, with others in between: %+v", r.Holder, r.At.Sub(at), requests)
		}
		holder, last[r.Holder] = r.Holder, r.At
	}
}

// TestReleasesTakeNoTurns guards against two holders that promote in turn (issue 53): coordinators that find an abandoned hold request the promotion
// of the present primary, which invalidates older requests, and repeat that while they get no answer. None of them knew of the others' requests,
// which were told only once they had been answered.
func TestReleasesTakeNoTurns(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	w := d.startWriter(0)
	d.eventually("writes are acknowledged", func() bool { return w.acknowledged() > 20 })
	known := make(chan int, 1)
	d.promotion.SetFaults(hosting.PromotionFaults{Withhold: true, OnRequest: func(id string) {
		n := 0
		for _, i := range d.instances {
			db, _ := i.databases.Get("g")
			if slices.ContainsFunc(db.View().Promotions(), func(p group.Promotion) bool { return p.Target == id }) {
				n++
			}
		}
		select {
		case known <- n:
		default:
		}
	}})
	var replica *hosting.Endpoint
	for _, e := range d.group.Members() {
		if e != d.group.Primary() {
			replica = e
		}
	}
	db, _ := d.instances[0].databases.Get("g")
	for _, e := range db.Members() {
		if e.Name != replica.ID() {
			continue
		}
		c, err := hosting.Dial(e.Address, "g")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		d.mustQuery(c, "-", "HOLD 2000")
	}
	d.eventually("two coordinators have requested promotions", func() bool { return len(holders(d.promotion.Withheld())) > 1 })
	if n := <-known; n != 2 {
		t.Errorf("%d instances knew of the first request when it was made, want 2", n)
	}
	time.Sleep(2500 * time.Millisecond)
	d.promotion.Release()
	d.eventually("the replica is released from its hold", func() bool { return replica.HeldTerm() == 0 })
	checkTurns(t, d.promotion.Requests())
	d.checkWrites(w)
}
