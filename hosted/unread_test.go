package hosted

import (
	"sync/atomic"
	"testing"
	"time"

	"siskincove/store"
)

// TestUnknownReplica guards against the loss of commits that only a replica has which was registered a moment ago: the store
// refused the first coordinator, which did not know of the replica and promoted another one.
func TestUnknownReplica(t *testing.T) {
	t.Parallel()
	const instances = 3
	d := newDeployment(t, 0)
	refused := make([]*atomic.Bool, instances)
	for n := range refused {
		refused[n] = &atomic.Bool{}
	}
	d.rows = func(n int, rows store.Rows) store.Rows { return refusingRows{Rows: rows, refuses: refused[n]} }
	primary, deaf, added := d.group.Members()[0], d.group.Members()[1], d.group.Members()[2]
	registrations := d.store.Rows("servers")
	d.store.WriteRaw("servers", added.ID(), nil)
	added.SetReceiveBlocked(true)
	for n := range instances {
		d.start(n)
	}
	for _, i := range d.instances {
		d.eventually("ready", i.health.ready)
	}
	w := d.startWriter(0)
	d.eventually("coordinators have reserved fencing tokens", func() bool {
		return len(d.store.Rows("fences")) == 1 && w.acknowledged() > 20
	})
	time.Sleep(6 * time.Second)
	for n, i := range d.instances {
		if rank, ok := i.coordinators.Rank("g"); ok && rank == 0 {
			refused[n].Store(true)
		}
	}
	// After a change the instances that read the endpoints wait for pollInterval before they ask for the next one.
	d.store.WriteRaw("servers", deaf.ID(), registrations[deaf.ID()])
	time.Sleep(100 * time.Millisecond)
	d.store.WriteRaw("servers", added.ID(), registrations[added.ID()])
	added.SetReceiveBlocked(false)
	deaf.SetReceiveBlocked(true)
	before := w.acknowledged()
	d.eventually("writes that only the added replica has are acknowledged", func() bool { return w.acknowledged() > before+10 })
	primary.Crash()
	d.eventually("another endpoint is primary", func() bool { return d.group.Primary() != primary })
	deaf.SetReceiveBlocked(false)
	before = w.acknowledged()
	d.eventually("writes are acknowledged again", func() bool { return w.acknowledged() > before+20 })
	d.checkWrites(w)
}
