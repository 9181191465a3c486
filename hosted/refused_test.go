package hosted

import (
	"cmp"
	"testing"
	"time"

	"siskincove/standin/hosting"
)

// TestReturnsWhilePromotionsAreRefused guards against a database that nobody leads since its primary, back after a crash under whatever id,
// is demoted for a promotion which the platform has certainly not accepted.
func TestReturnsWhilePromotionsAreRefused(t *testing.T) {
	for name, id := range map[string]string{"under its id": "", "under another id": "i-g-returned"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 3)
			w := d.startWriter(0)
			d.eventually("coordinators have reserved fencing tokens", func() bool {
				return len(d.store.Rows("fences")) == 1 && w.acknowledged() > 20
			})
			time.Sleep(4500 * time.Millisecond)
			requested := make(chan struct{}, 1)
			d.promotion.SetFaults(hosting.PromotionFaults{Down: true, OnRequest: func(string) {
				select {
				case requested <- struct{}{}:
				default:
				}
			}})
			primary := d.group.Primary()
			id := cmp.Or(id, primary.ID())
			primary.Crash()
			select {
			case <-requested:
			case <-time.After(waitTimeout):
				t.Fatal("no promotion was requested")
			}
			time.Sleep(300 * time.Millisecond)
			if err := primary.RestartAs(id); err != nil {
				t.Fatal(err)
			}
			before := w.acknowledged()
			d.eventually("writes are acknowledged again", func() bool { return w.acknowledged() > before+20 })
			d.promotion.SetFaults(hosting.PromotionFaults{})
			d.checkWrites(w)
		})
	}
}
