package proof

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"siskincove/soak"
	"siskincove/standin/hosting"
)

// disruption is the loss of a primary and, after the promotion of a replica was requested, of the other one.
type disruption struct {
	// primaryDown is how long the primary is down, and replicaAfter when the replica crashes after the request, for replicaDown.
	primaryDown, replicaAfter, replicaDown time.Duration
	// promotion is how long the promotion takes, after it has been accepted or, if the answer is lost, after that.
	promotion  time.Duration
	loseAnswer bool
}

func drawDisruption(random *rand.Rand) disruption {
	between := func(from, to int) time.Duration { return time.Duration(from+random.IntN(to-from)) * time.Millisecond }
	// The promotion is requested some 600 ms after the crash. Most of the primaries return before it takes effect.
	promotion := random.IntN(1700)
	return disruption{
		primaryDown: between(600, 1500+promotion), replicaAfter: between(0, 400), replicaDown: between(50, 400),
		promotion: time.Duration(800+promotion) * time.Millisecond, loseAnswer: random.IntN(3) == 0,
	}
}

// play carries out the disruption and waits until it is over.
func (r disruption) play(d *soak.Deployment) error {
	requested := make(chan string, 1)
	faults := hosting.PromotionFaults{OnRequest: func(target string) {
		select {
		case requested <- target:
		default:
		}
	}}
	if r.loseAnswer {
		faults.LoseAnswers, faults.Delay = 1, r.promotion
	}
	d.Promotion.SetFaults(faults)
	d.Group.SetPromotionDelay(r.promotion)
	primary := d.Group.Primary()
	primary.Crash()
	returned := make(chan error, 1)
	time.AfterFunc(r.primaryDown, func() { returned <- primary.Restart() })
	select {
	case target := <-requested:
		for _, e := range d.Group.Members() {
			if e == primary || e.ID() == target {
				continue
			}
			time.Sleep(r.replicaAfter)
			e.Crash()
			time.Sleep(r.replicaDown)
			if err := e.Restart(); err != nil {
				return err
			}
		}
	case <-time.After(r.primaryDown):
		// The primary was back before a promotion was requested.
	}
	err := <-returned
	d.Promotion.SetFaults(hosting.PromotionFaults{})
	return err
}

// TestReturnsDuringPromotion guards against the loss of acknowledged commits when a held replica and the former primary return while a
// promotion is carried out, at drawn times; a promoted log then lacked what both had acknowledged (review/2). SISKINCOVE_RETURNS sets the number
// of disruptions.
func TestReturnsDuringPromotion(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{3, 9} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			t.Parallel()
			zones := make([]string, instances)
			for n := range zones {
				zones[n] = string("abc"[n%3])
			}
			d, err := soak.StartDeployment(t.Context(), soak.DeploymentOptions{
				Binaries: outageBinaries(), Directory: t.TempDir(), Zones: zones, Configuration: hosting.Configuration(hosting.FirstVersion),
			})
			t.Cleanup(d.Close)
			if err != nil {
				t.Fatal(err)
			}
			d.StartSessions(uint64(instances))
			time.Sleep(settleTime)
			random := rand.New(rand.NewPCG(uint64(instances), 1))
			for range envInt("SISKINCOVE_RETURNS", 6) {
				r := drawDisruption(random)
				t.Logf("%+v", r)
				if err := r.play(d); err != nil {
					t.Fatal(err)
				}
				if !awaitWrites(d) {
					t.Fatalf("writes did not resume within %s", recoveryLimit)
				}
				time.Sleep(time.Second)
			}
			checkRecovery(t, d, soak.NewInjector(d))
		})
	}
}
