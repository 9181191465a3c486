package proof

import (
	"fmt"
	"testing"
	"time"

	"siskincove/soak"
)

// TestCompoundFaults injects each fault that disturbs several parts of a deployment by itself, and then the loss of the primary. Acknowledged
// commits were lost when a promotion took effect after its holds had ended, and when restarted instances did not know of a replica that
// was gone; with an entry of another writer no primary was replaced.
func TestCompoundFaults(t *testing.T) {
	for _, name := range soak.CompoundFaultNames() {
		for target := range 2 {
			t.Run(fmt.Sprintf("%s/%d", name, target), func(t *testing.T) {
				t.Parallel()
				d := startPlatformCluster(t)
				d.StartSessions(1)
				time.Sleep(settleTime)
				injector := soak.NewInjector(d)
				injector.Inject(soak.Fault{Name: name, Target: target})
				injector.Clear()
				// Instances that were restarted replace a primary only after they have known the endpoints for some time.
				time.Sleep(settleTime)
				d.Group.Primary().Crash()
				checkRecovery(t, d, injector)
			})
		}
	}
}
