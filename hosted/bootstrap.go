package hosted

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"siskincove/clock"
	"siskincove/directory"
	"siskincove/member"
	"siskincove/meter"
)

const (
	// bootstrapTimeout bounds the wait for the roster and for the directories of near instances before the store is read.
	bootstrapTimeout = 60 * time.Millisecond
	// bootstrapPeers is how many near instances are asked.
	bootstrapPeers = 2
	// bootstrapTransfer bounds the wait for a large configuration or many endpoints that they offer, and bootstrapPoll is how often it is looked for.
	bootstrapTransfer = time.Second
	bootstrapPoll     = 5 * time.Millisecond
)

// bootstrap takes the directory from instances of the own failure domain, or else of the region. After a restart of this instance
// alone they have the newest, and nothing has to be read from the store; after a restart of all they have nothing.
func (i *Instance) bootstrap(ctx context.Context) {
	<-i.initialized
	askCtx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	i.members.AwaitRoster(askCtx)
	own := i.options.Settings.Instance.Domain
	near := nearestPeers(own, i.members.PlacedPeers(), bootstrapPeers, rand.Perm)
	var wait sync.WaitGroup
	pending := make([]directory.Versions, len(near))
	for n, p := range near {
		wait.Go(func() {
			offer, err := i.inquire(askCtx, p.Address, directory.Versions{}, false)
			if err != nil {
				return
			}
			i.directory.Accept(offer)
			pending[n] = offer.Pending()
			i.fetcher.announce(pending[n], p.Address, p.Domain)
		})
	}
	wait.Wait()
	i.awaitTransfer(ctx, pending)
}

// awaitTransfer waits while peers transfer versions that this instance lacks, for bootstrapTransfer at most.
func (i *Instance) awaitTransfer(ctx context.Context, versions []directory.Versions) {
	started := i.options.Clock.Now()
	lacking := func(v directory.Versions) bool { return v.NewerThan(i.directory.Versions()) }
	for slices.ContainsFunc(versions, lacking) && i.options.Clock.Now().Sub(started) < bootstrapTransfer {
		if clock.Wait(ctx, i.options.Clock, bootstrapPoll) != nil {
			return
		}
	}
}

// nearestPeers returns up to n instances of a failure domain, or of its region if the domain has no others, in the random order of
// permute.
func nearestPeers(domain string, all []member.Instance, n int, permute func(n int) []int) []member.Instance {
	byDistance := make(map[meter.Distance][]member.Instance)
	for _, i := range all {
		d := meter.DistanceBetween(domain, i.Domain)
		byDistance[d] = append(byDistance[d], i)
	}
	near := byDistance[meter.SameDomain]
	if len(near) == 0 {
		near = byDistance[meter.SameRegion]
	}
	var out []member.Instance
	for _, index := range permute(len(near))[:min(len(near), n)] {
		out = append(out, near[index])
	}
	return out
}
