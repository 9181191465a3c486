package hosted

import (
	"slices"
	"testing"
	"time"
)

// TestLapsedReplica guards against the loss of commits that a replica acknowledges whose entry in the store has lapsed: the other replica
// receives nothing, and is promoted once the primary is gone.
func TestLapsedReplica(t *testing.T) {
	tests := map[string]struct {
		// away lets the lapsed replica be unreachable when the primary is lost, and come back after a second.
		away bool
	}{
		"it answers":                      {},
		"it is back after the succession": {away: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 3)
			primary, deaf, lapsed := d.group.Members()[0], d.group.Members()[1], d.group.Members()[2]
			writers := []*writer{d.startWriter(0), d.startWriter(1), d.startWriter(2)}
			d.eventually("coordinators have reserved fencing tokens", func() bool {
				return len(d.store.Rows("fences")) == 1 && writers[0].acknowledged() > 20
			})
			time.Sleep(4500 * time.Millisecond)
			lapsed.SetUnlisted(true)
			d.eventually("all instances know that the entry has lapsed", func() bool {
				return !slices.ContainsFunc(d.instances, func(i *Instance) bool {
					db, _ := i.databases.Get("g")
					_, known := db.Pool(lapsed.ID())
					return known
				})
			})
			deaf.SetReceiveBlocked(true)
			before := writers[0].acknowledged()
			d.eventually("writes that the lapsed replica has are acknowledged", func() bool { return writers[0].acknowledged() > before+20 })
			primary.Crash()
			if test.away {
				lapsed.Crash()
				time.AfterFunc(time.Second, func() {
					if err := lapsed.Restart(); err != nil {
						t.Error(err)
					}
				})
			}
			d.eventually("another endpoint is primary", func() bool {
				p := d.group.Primary()
				return p != nil && p != primary
			})
			deaf.SetReceiveBlocked(false)
			before = writers[0].acknowledged()
			d.eventually("writes are acknowledged again", func() bool { return writers[0].acknowledged() > before+20 })
			d.checkWrites(writers...)
		})
	}
}
