package hosted

import (
	"testing"
	"time"
)

// TestPrimaryReturnsUnderAnotherID guards against the loss of acknowledged commits (review case 6): the platform takes a second for a
// promotion; meanwhile the crashed primary is back with its log under another id and acknowledges commits with a replica that nobody
// holds.
func TestPrimaryReturnsUnderAnotherID(t *testing.T) {
	for name, joins := range map[string]bool{"with a new replica": true, "with a replica that restarts": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 3)
			d.group.SetPromotionDelay(time.Second)
			lost := d.group.Primary()
			writers := []*writer{d.startWriter(0), d.startWriter(1), d.startWriter(2)}
			d.eventually("coordinators have reserved fencing tokens", func() bool {
				return len(d.store.Rows("fences")) == 1 && writers[0].acknowledged() > 20
			})
			time.Sleep(4500 * time.Millisecond)
			lost.Crash()
			d.eventually("a promotion is requested", func() bool { return len(d.promotion.Requests()) > 0 })
			target := d.promotion.Requests()[0].ID
			time.Sleep(200 * time.Millisecond)
			if err := lost.RestartAs("i-g-returned"); err != nil {
				t.Fatal(err)
			}
			if joins {
				if _, err := d.group.Join("north-a"); err != nil {
					t.Fatal(err)
				}
			}
			for _, e := range d.group.Members() {
				if !joins && e != lost && e.ID() != target {
					e.Crash()
					if err := e.Restart(); err != nil {
						t.Fatal(err)
					}
				}
			}
			d.eventually("another endpoint is primary", func() bool {
				p := d.group.Primary()
				return p != nil && p != lost
			})
			before := writers[0].acknowledged()
			d.eventually("writes are acknowledged again", func() bool { return writers[0].acknowledged() > before+20 })
			d.checkWrites(writers...)
		})
	}
}
