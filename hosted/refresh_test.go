package hosted

import (
	"testing"
	"time"
)

// TestFailoverBesideSilentStore guards against a failover that waits for a store which does not answer the first coordinators, although
// it answers other instances: writes stopped for up to 2.5 s longer.
func TestFailoverBesideSilentStore(t *testing.T) {
	const instances = 6
	tests := map[string]struct {
		silent bool
		// left is how many coordinators the store still answers.
		left int
	}{
		"refuses the first coordinator":            {left: 2},
		"silent to the first coordinator":          {silent: true, left: 2},
		"refuses all coordinators of the database": {},
		"silent to all coordinators":               {silent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, lost := newLossyDeployment(t, instances, test.silent)
			w := d.startWriter(0)
			d.eventually("coordinators have reserved fencing tokens", func() bool {
				return len(d.store.Rows("fences")) == 1 && len(d.store.Rows("members")) == 1 && w.acknowledged() > 20
			})
			time.Sleep(6 * time.Second)
			for n, i := range d.instances {
				if rank, ok := i.coordinators.Rank("g"); ok && rank < 3-test.left {
					lost[n].Store(true)
				}
			}
			primary := d.group.Primary()
			primary.Crash()
			crashed := time.Now()
			d.eventually("another endpoint is primary", func() bool { return d.group.Primary() != primary })
			if took := time.Since(crashed); took > 2500*time.Millisecond {
				t.Errorf("the failover took %s", took)
			}
			before := w.acknowledged()
			d.eventually("writes are acknowledged again", func() bool { return w.acknowledged() > before+20 })
			if err := primary.Restart(); err != nil {
				t.Fatal(err)
			}
			d.checkWrites(w)
		})
	}
}
