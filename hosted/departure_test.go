package hosted

import (
	"slices"
	"testing"
	"time"

	"siskincove/config"
)

// TestDepartureBeforeRestart guards against the loss of commits after a restart of all instances: the only replica that had
// received them departed before, the restarted coordinators did not know of it, and promoted one that had received nothing.
func TestDepartureBeforeRestart(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3)
	primary, lost, deaf := d.group.Members()[0], d.group.Members()[1], d.group.Members()[2]
	w := d.startWriter(0)
	d.eventually("coordinators have reserved fencing tokens", func() bool {
		return len(d.store.Rows("fences")) == 1 && w.acknowledged() > 20
	})
	time.Sleep(4500 * time.Millisecond)
	deaf.SetReceiveBlocked(true)
	before := w.acknowledged()
	d.eventually("writes that one replica has are acknowledged", func() bool { return w.acknowledged() > before+20 })
	lost.Crash()
	d.group.Register()
	for _, i := range d.instances {
		d.eventually("the lost replica has departed", func() bool {
			db, _ := i.databases.Get("g")
			return !slices.ContainsFunc(db.Members(), func(e config.Endpoint) bool { return e.Name == lost.ID() })
		})
	}
	for _, i := range d.instances {
		i.Close()
	}
	primary.Crash()
	for n := range 3 {
		d.start(n)
	}
	time.Sleep(9 * time.Second)
	if d.group.Promotions() > 0 {
		t.Error("a replica without acknowledged commits was promoted")
	}
	if err := primary.Restart(); err != nil {
		t.Fatal(err)
	}
	deaf.SetReceiveBlocked(false)
	again := d.startWriter(3)
	d.eventually("writes are acknowledged again", func() bool { return again.acknowledged() > 20 })
	d.checkWrites(w, again)
}

// TestFailoverAfterRestart guards against coordinators that wait for a replica which departed before a restart although its
// commits are elsewhere, and against failing over more slowly because of the list of members.
func TestFailoverAfterRestart(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3)
	primary, departed := d.group.Members()[0], d.group.Members()[1]
	w := d.startWriter(0)
	d.eventually("the members are listed", func() bool { return len(d.store.Rows("members")) == 1 && w.acknowledged() > 20 })
	departed.Crash()
	d.group.Register()
	listed := func() string { return string(d.store.Rows("members")["g"]) }
	three := listed()
	d.eventually("the departed replica is no longer listed", func() bool { return len(listed()) < len(three) })
	for _, i := range d.instances {
		i.Close()
	}
	primary.Crash()
	restarted := time.Now()
	for n := range 3 {
		d.start(n)
	}
	d.eventually("the other replica is primary", func() bool { return d.group.Primary() == d.group.Members()[2] })
	if took := time.Since(restarted); took > 8*time.Second {
		t.Errorf("the failover took %s", took)
	}
	if err := primary.Restart(); err != nil {
		t.Fatal(err)
	}
	again := d.startWriter(3)
	d.eventually("writes are acknowledged again", func() bool { return again.acknowledged() > 20 })
	d.checkWrites(w, again)
}
