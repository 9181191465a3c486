package soak

import (
	"fmt"
	"slices"
	"time"

	"siskincove/standin/hosting"
)

const (
	// downTime is how long all instances are down together.
	downTime = 800 * time.Millisecond
	// detectionTime is about as long as instances take to hold the replicas of a primary that has crashed.
	detectionTime = 600 * time.Millisecond
	// blinkTime is how long a replica is away that crashes while a primary is replaced. The primary is away for returnTime more than
	// detectionTime, and for up to returnSpread more.
	blinkTime    = 200 * time.Millisecond
	returnTime   = 100 * time.Millisecond
	returnSpread = 500
	// slowPromotion is how long a promotion takes meanwhile.
	slowPromotion = time.Second
	// departureTime is how long commits are acknowledged by a single replica before that one is lost for good.
	departureTime = 800 * time.Millisecond
	// forgetTime passes from the loss of a replica to the end of all instances, which then no longer find it registered.
	forgetTime = time.Second
	// absenceTime is how long the primary is away then. It exceeds the time for which instances must have known the endpoints before they
	// replace a primary.
	absenceTime = 6500 * time.Millisecond
	// joinTime is how long after the return of the primary another replica takes the place of the one that was lost.
	joinTime = 3 * time.Second
)

// oddEntries are values of rows among those of the endpoints that another writer may leave.
var oddEntries = []string{
	`{"service":"g","address":"127.0.0.1:9","zone":"a","slots":5,"state":"ready","db-role":"replica","sequence":"one"}`,
	`{"service":"g","address":"127.0.0.1:70000","zone":"a","version":"v1","slots":1e300,"state":"ready","db-role":"primary","cold-remaining-ms":0,"sequence":1}`,
	`{"service":"g","address":7,"zone":null,"slots":-1,"state":"gone","db-role":"replica"}`,
	`[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[`,
	"\xff\xfe\x00",
}

// killAll kills all instances at the same time and starts them again. Instances that another fault holds are left out.
func (i *Injector) killAll() {
	var own []int
	for n := range i.held {
		if i.held[n].TryLock() {
			own = append(own, n)
		}
	}
	for _, n := range own {
		i.deployment.Instances[n].Process.Kill()
	}
	time.Sleep(downTime)
	for _, n := range own {
		i.start(n)
		i.held[n].Unlock()
	}
}

// crashInTurn crashes the primary, and a replica once both have been held for a promotion. The replica is back before the primary, and the primary
// at about the time of the promotion, for every second target under another id.
func (i *Injector) crashInTurn(target int) {
	primary := i.deployment.Group.Primary()
	if primary == nil {
		return
	}
	primary.Crash()
	i.running.Go(func() {
		i.deployment.Group.SetPromotionDelay(slowPromotion)
		defer i.deployment.Group.SetPromotionDelay(promotionDelay)
		time.Sleep(detectionTime)
		if replica := i.replica(target, nil); replica != nil {
			replica.Crash()
			time.Sleep(blinkTime)
			i.record(replica.Restart())
		}
		time.Sleep(returnTime + time.Duration(target%returnSpread)*time.Millisecond)
		id := primary.ID()
		if target%2 == 1 {
			id = fmt.Sprintf("i-returned-%d", i.renamed.Add(1))
		}
		i.record(primary.RestartAs(id))
	})
}

// replica returns a replica other than the given one, nil if there is none.
func (i *Injector) replica(target int, other *hosting.Endpoint) *hosting.Endpoint {
	group := i.deployment.Group
	primary := group.Primary()
	replicas := slices.DeleteFunc(group.Members(), func(e *hosting.Endpoint) bool { return e == primary || e == other })
	if len(replicas) == 0 {
		return nil
	}
	return replicas[target%len(replicas)]
}

// loseReplica lets one replica receive nothing while another one, which acknowledges what the primary writes meanwhile, is lost for
// good. Then all instances end, and the primary is away for some time. Only one replica is lost at a time.
func (i *Injector) loseReplica(target int) {
	if !i.losing.TryLock() {
		return
	}
	i.running.Go(func() {
		defer i.losing.Unlock()
		deaf := i.replica(target, nil)
		if deaf == nil {
			return
		}
		deaf.SetReceiveBlocked(true)
		time.Sleep(departureTime)
		lost := i.replica(target, deaf)
		if lost == nil || !i.deployment.Group.Depart(lost) {
			deaf.SetReceiveBlocked(false)
			return
		}
		time.Sleep(forgetTime)
		primary := i.deployment.Group.Primary()
		if primary != nil {
			primary.Crash()
		}
		i.killAll()
		time.Sleep(absenceTime - downTime)
		if primary != nil {
			i.record(primary.Restart())
		}
		deaf.SetReceiveBlocked(false)
		time.Sleep(joinTime)
		_, err := i.deployment.Group.Join(lost.Zone())
		i.record(err)
	})
}

// writeEntry leaves an entry of another writer among those of the endpoints.
func (i *Injector) writeEntry(target int) {
	n := target % len(oddEntries)
	i.deployment.Store.WriteRaw("servers", fmt.Sprintf("other-%d", n), []byte(oddEntries[n]))
}
