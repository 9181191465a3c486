package hosted

import (
	"testing"

	"siskincove/group"
)

// TestLeavingInstanceHearsOfPromotion guards against writes that an instance which is leaving sends to a primary that is being replaced: it
// heard of the promotion by its next heartbeat only, up to 0.7 s later.
func TestLeavingInstanceHearsOfPromotion(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3)
	announcing, leaving := d.instances[0], d.instances[2]
	leaving.members.Leave(t.Context())
	d.eventually("the other instances know that one is leaving", func() bool { return len(announcing.members.PlacedPeers()) == 1 })
	primary, target := d.group.Members()[0], d.group.Members()[1]
	own, _ := announcing.databases.Get("g")
	own.RecordPromotion(group.Promotion{Fence: 9, Term: 1033, Newest: 1, Replaced: primary.ID(), Target: target.ID(), At: announcing.options.Clock.Now()})
	announcing.announce("g")
	others, _ := leaving.databases.Get("g")
	if !others.IsBeingReplaced(primary.ID()) {
		t.Error("the leaving instance does not know of the promotion")
	}
}
