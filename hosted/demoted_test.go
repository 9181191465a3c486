package hosted

import (
	"testing"

	"siskincove/standin/hosting"
)

// TestDemotedPrimaryRestarts guards against a database that nobody leads (soak seeds 611, 647, 9206): the primary was demoted for a promotion that
// the platform did not accept, it restarted, a replica was lost for good, and all instances restarted, which forgot that it had led.
func TestDemotedPrimaryRestarts(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3)
	primary, lost := d.group.Members()[0], d.group.Members()[2]
	w := d.startWriter(0)
	d.eventually("the members and their primary are listed", func() bool {
		return len(d.store.Rows("fences")) == 1 && len(d.store.Rows("members")) == 1 && w.acknowledged() > 20
	})
	d.promotion.SetFaults(hosting.PromotionFaults{Down: true})
	d.eventually("coordinators replace a leaving primary", func() bool {
		primary.Drain()
		return d.group.Primary() == nil
	})
	for _, i := range d.instances {
		i.Close()
	}
	lost.Crash()
	d.group.Register()
	primary.Crash()
	if err := primary.Restart(); err != nil {
		t.Fatal(err)
	}
	primary.Return()
	d.promotion.SetFaults(hosting.PromotionFaults{})
	for n := range 3 {
		d.start(n)
	}
	d.eventually("an endpoint leads", func() bool { return d.group.Primary() != nil })
	again := d.startWriter(3)
	d.eventually("writes are acknowledged again", func() bool { return again.acknowledged() > 20 })
	d.checkWrites(w, again)
}
