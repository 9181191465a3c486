package proof

import (
	"fmt"
	"testing"
	"time"

	"siskincove/soak"
)

// TestFrozenCoordinator guards against the loss of acknowledged commits when a coordinator is frozen while a replica registers, alone
// acknowledges commits and departs: back at work, it knew of no departure and promoted a replica that had received nothing.
func TestFrozenCoordinator(t *testing.T) {
	t.Parallel()
	for frozen := range 3 {
		t.Run(fmt.Sprint(frozen), func(t *testing.T) {
			t.Parallel()
			d := startPlatformCluster(t)
			d.StartSessions(uint64(frozen))
			time.Sleep(settleTime)
			primary := d.Group.Primary()
			process := d.Instances[frozen].Process
			process.Suspend()
			joined, err := d.Group.Join("a")
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range d.Group.Members() {
				if e != primary && e != joined {
					e.SetReceiveBlocked(true)
				}
			}
			if !awaitWrites(d) {
				t.Fatal("no writes are acknowledged")
			}
			if !d.Group.Depart(joined) {
				t.Fatal("the replica has been promoted")
			}
			// The other instances no longer list the replica.
			time.Sleep(6 * time.Second)
			process.Resume()
			primary.Crash()
			time.Sleep(6 * time.Second)
			if n := d.Group.Promotions(); n > 0 {
				t.Errorf("%d promotions while commits may be lost", n)
			}
			if err := primary.Restart(); err != nil {
				t.Fatal(err)
			}
			for _, e := range d.Group.Members() {
				e.SetReceiveBlocked(false)
			}
			checkRecovery(t, d, soak.NewInjector(d))
		})
	}
}
