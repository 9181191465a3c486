package hosted

import (
	"math/rand/v2"
	"sync"
	"time"

	"siskincove/clock"
	"siskincove/directory"
	"siskincove/meter"
)

const (
	// regionFetchDelay and farFetchDelay are the least time that a newer directory is awaited from nearer peers before one in
	// another failure domain or in another region is asked for it. The wait is up to twice as long, so that the first
	// instance of a region to ask can pass the answer on before the others do.
	regionFetchDelay = 50 * time.Millisecond
	farFetchDelay    = 200 * time.Millisecond
)

// fetchDelay returns how long to wait for nearer peers before a peer at a distance is asked for its directory. spread is from 0 to
// 1.
func fetchDelay(d meter.Distance, spread float64) time.Duration {
	delay := time.Duration(0)
	switch d {
	case meter.SameRegion:
		delay = regionFetchDelay
	case meter.OtherRegion:
		delay = farFetchDelay
	}
	return time.Duration(float64(delay) * (1 + spread))
}

// fetches are the requests for directories that wait for their delay, at most one for each distance.
type fetches struct {
	mu      sync.Mutex
	waiting map[meter.Distance]bool
	running sync.WaitGroup
}

// begin reports whether no request waits for that distance yet, and makes one wait until end.
func (f *fetches) begin(d meter.Distance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waiting[d] {
		return false
	}
	f.waiting[d] = true
	return true
}

func (f *fetches) end(d meter.Distance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiting, d)
}

// fetchSoon requests the directory of a peer that has a newer one, unless a nearer peer supplies it in time. If the request fails,
// the next heartbeat of any peer that has it leads to another.
func (i *Instance) fetchSoon(peerVersions directory.Versions, address, domain string) {
	distance := meter.DistanceBetween(i.options.Settings.Instance.Domain, domain)
	delay := fetchDelay(distance, rand.Float64())
	if delay == 0 {
		i.fetchDirectory(peerVersions, address)
		return
	}
	if !i.fetches.begin(distance) {
		return
	}
	i.fetches.running.Go(func() {
		defer i.fetches.end(distance)
		if clock.Wait(i.ctx, i.options.Clock, delay) == nil {
			i.fetchDirectory(peerVersions, address)
		}
	})
}
