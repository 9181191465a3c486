package hosted

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"siskincove/standin/hosting"
)

// requestPromotion requests a promotion under the lowest fencing token.
func (d *deployment) requestPromotion(id string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.promotion.Address()+"/promotion", strings.NewReader(`{"service":"g","id":"`+id+`"}`))
	if err != nil {
		return err
	}
	request.Header.Set("X-Lease-Holder", "killed")
	request.Header.Set("X-Fencing-Token", "1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// TestPromotionBeforeInvalidation guards against the loss of acknowledged commits: a coordinator was killed that held the replicas, and the
// platform executes its request, a second before the target leads, just before another coordinator invalidates it. The target
// receives nothing meanwhile.
func TestPromotionBeforeInvalidation(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3)
	primary, target, other := d.group.Members()[0], d.group.Members()[1], d.group.Members()[2]
	d.eventually("coordinators have reserved fencing tokens", func() bool { return len(d.store.Rows("fences")) == 1 })
	d.group.SetPromotionDelay(time.Second)
	target.SetReceiveBlocked(true)
	var once sync.Once
	invalidated := make(chan struct{})
	d.promotion.SetFaults(hosting.PromotionFaults{OnRequest: func(id string) {
		if id != primary.ID() {
			return
		}
		once.Do(func() {
			if err := d.requestPromotion(target.ID()); err != nil {
				t.Error(err)
			}
			close(invalidated)
		})
	}})
	for _, e := range []*hosting.Endpoint{target, other} {
		d.command(e, "HOLD 1283")
	}
	select {
	case <-invalidated:
	case <-time.After(waitTimeout):
		t.Fatal("nobody has invalidated the promotion")
	}
	writers := []*writer{d.startWriter(0), d.startWriter(1), d.startWriter(2)}
	d.eventually("another endpoint is primary", func() bool {
		p := d.group.Primary()
		return p != nil && p != primary
	})
	target.SetReceiveBlocked(false)
	before := writers[0].acknowledged()
	d.eventually("writes are acknowledged again", func() bool { return writers[0].acknowledged() > before+20 })
	for _, e := range d.group.Members() {
		d.eventually("replicas are released from their holds", func() bool { return e.HeldTerm() == 0 })
	}
	d.checkWrites(writers...)
}
