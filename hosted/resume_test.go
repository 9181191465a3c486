package hosted

import (
	"testing"
	"time"

	"siskincove/standin/hosting"
)

// command sends an endpoint a command over a connection of its own.
func (d *deployment) command(e *hosting.Endpoint, text string) {
	d.t.Helper()
	db, _ := d.instances[0].databases.Get("g")
	for _, member := range db.Members() {
		if member.Name == e.ID() {
			c, err := hosting.Dial(member.Address, "g")
			if err != nil {
				d.t.Fatal(err)
			}
			defer c.Close()
			d.mustQuery(c, "-", text)
			return
		}
	}
	d.t.Fatalf("%s is not registered", e.ID())
}

// TestLateResume guards against the loss of acknowledged commits: while the platform carries out a promotion that it has accepted, a
// RESUME meant for an older hold ends the hold of the other replica, and the old primary is back.
func TestLateResume(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3)
	lost := d.group.Primary()
	d.group.SetPromotionDelay(2200 * time.Millisecond)
	writers := []*writer{d.startWriter(0), d.startWriter(1), d.startWriter(2)}
	d.eventually("coordinators have reserved fencing tokens", func() bool {
		return len(d.store.Rows("fences")) == 1 && writers[0].acknowledged() > 20
	})
	time.Sleep(4500 * time.Millisecond)
	lost.Crash()
	d.eventually("a promotion is requested", func() bool { return len(d.promotion.Requests()) > 0 })
	target := d.promotion.Requests()[0].ID
	time.Sleep(200 * time.Millisecond)
	for _, e := range d.group.Members() {
		if e != lost && e.ID() != target {
			d.command(e, "RESUME")
		}
	}
	time.Sleep(time.Second)
	if err := lost.Restart(); err != nil {
		t.Fatal(err)
	}
	d.eventually("another endpoint is primary", func() bool {
		p := d.group.Primary()
		return p != nil && p != lost
	})
	before := writers[0].acknowledged()
	d.eventually("writes are acknowledged again", func() bool { return writers[0].acknowledged() > before+20 })
	d.checkWrites(writers...)
}
