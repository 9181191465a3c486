package hosted

import (
	"testing"
	"time"
)

// TestUnlistedReplica guards against the loss of commits that an endpoint received which is not listed in the store (issue 53): all listed
// replicas were held, the primary acknowledged with the other one, and a listed replica was promoted.
func TestUnlistedReplica(t *testing.T) {
	tests := map[string]struct {
		// deaf keeps the listed replica from receiving, and crash is whether the primary crashes instead of leaving.
		deaf, crash bool
	}{
		"the primary is leaving": {},
		"the primary crashes":    {deaf: true, crash: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 0)
			primary, listed, unlisted := d.group.Members()[0], d.group.Members()[1], d.group.Members()[2]
			unlisted.SetUnlisted(true)
			for n := range 3 {
				d.start(n)
			}
			for _, i := range d.instances {
				d.eventually("ready", i.health.ready)
			}
			writers := []*writer{d.startWriter(0), d.startWriter(1), d.startWriter(2)}
			d.eventually("coordinators have reserved fencing tokens", func() bool {
				return len(d.store.Rows("fences")) == 1 && writers[0].acknowledged() > 20
			})
			time.Sleep(4500 * time.Millisecond)
			listed.SetReceiveBlocked(test.deaf)
			before := writers[0].acknowledged()
			d.eventually("writes that the unlisted replica has are acknowledged", func() bool { return writers[0].acknowledged() > before+20 })
			if test.crash {
				primary.Crash()
				time.AfterFunc(time.Second, func() { unlisted.SetUnlisted(false) })
			} else {
				d.group.SetOrderDelay(15 * time.Millisecond)
				primary.Drain()
			}
			d.eventually("another endpoint is primary", func() bool {
				p := d.group.Primary()
				return p != nil && p != primary
			})
			listed.SetReceiveBlocked(false)
			before = writers[0].acknowledged()
			d.eventually("writes are acknowledged again", func() bool { return writers[0].acknowledged() > before+20 })
			d.checkWrites(writers...)
		})
	}
}
