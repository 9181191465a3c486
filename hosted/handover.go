package hosted

import (
	"context"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/directory"
	"siskincove/event"
	"siskincove/member"
	"siskincove/peer/wire"
)

const (
	// handoverInterval is how often an instance that the store does not answer asks another one to read in its place, and
	// substituteTime how long that one does so after a request.
	handoverInterval = 250 * time.Millisecond
	substituteTime   = time.Second
	// declineTime is how long an instance that the store does not answer either does not read in the place of another one.
	declineTime = 10 * time.Second
	// nearSubstitutes and farSubstitutes bound the instances of the own failure domain and of all that may be asked.
	nearSubstitutes = 4
	farSubstitutes  = 2
)

func (i *Instance) readings() []*reading { return []*reading{i.polling, i.following} }

// takeReads makes this instance read what a peer wants, which the store does not answer.
func (i *Instance) takeReads(wanted uint32) {
	for _, r := range i.readings() {
		if wanted&r.bit != 0 {
			r.request()
		}
	}
	if wanted&refreshBit != 0 {
		i.refresher.request()
	}
}

// takenReads returns what of that this instance reads, or has just read.
func (i *Instance) takenReads(wanted uint32) uint32 {
	taken := uint32(0)
	for _, r := range i.readings() {
		if wanted&r.bit != 0 && !r.declines() {
			taken |= r.bit
		}
	}
	if wanted&refreshBit != 0 && i.refresher.fresh() {
		taken |= refreshBit
	}
	return taken
}

// handOverReads asks other instances to read what the store does not answer this one, until the instance ends.
func (i *Instance) handOverReads() {
	defer close(i.handoverDone)
	asked := make(map[string]directory.Substitutes)
	for clock.Wait(i.ctx, i.options.Clock, handoverInterval) == nil {
		for _, r := range i.readings() {
			if r.ranksFirst() && i.directory.StoreLost(r.kind) {
				asked[r.kind] = r.handOver(i.ctx, asked[r.kind])
			} else {
				delete(asked, r.kind)
			}
		}
	}
}

// request makes this instance read for some time.
func (r *reading) request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestedUntil = r.instance.options.Clock.Now().Add(substituteTime)
}

// declines reports whether the store does not answer this instance, or did not when it last read in the place of another one.
func (r *reading) declines() bool {
	if r.instance.directory.StoreLost(r.kind) {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instance.options.Clock.Now().Before(r.declinesUntil)
}

// substitutes reports whether this instance reads in the place of another one, which ends when the store does not answer this one
// either.
func (r *reading) substitutes() bool {
	lost, now := r.instance.directory.StoreLost(r.kind), r.instance.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !now.Before(r.requestedUntil) || now.Before(r.declinesUntil):
		return false
	case lost:
		r.declinesUntil = now.Add(declineTime)
		return false
	default:
		return true
	}
}

// handOver asks the next instance to read. It returns the instances asked, with its reply.
func (r *reading) handOver(ctx context.Context, asked directory.Substitutes) directory.Substitutes {
	defer r.instance.options.Logger.Contain("handover")
	id := asked.Next(r.candidates(), r.instance.options.Clock.Now())
	if id != asked.Current() {
		r.instance.options.Logger.Log(event.ReadingRequested, log.Fields{"name": r.kind, "instance": id})
	}
	if id == "" {
		return asked.With("")
	}
	reply := r.instance.members.Ask(ctx, id, func(h *wire.Heartbeat) { h.Wanted = r.bit })
	if asked = asked.With(id); reply.GetTaken()&r.bit == 0 {
		asked = asked.WithRefusal(id, r.instance.options.Clock.Now())
	}
	return asked
}

// candidates returns the IDs of the instances that may be asked to read, in order: some of the failure domain that do not read by
// their rank, then some of all.
func (r *reading) candidates() []string {
	own := r.instance.options.Settings.Instance
	near := r.instance.members.HighestRanked(r.task+own.Domain, own.Domain, r.count+nearSubstitutes)
	far := r.instance.members.HighestRanked(r.task, "", farSubstitutes)
	var out []string
	for _, m := range append(near[min(r.count, len(near)):], withoutDomain(far, own.Domain)...) {
		out = append(out, m.ID)
	}
	return out
}

func withoutDomain(all []member.Instance, domain string) []member.Instance {
	var out []member.Instance
	for _, m := range all {
		if m.Domain != domain {
			out = append(out, m)
		}
	}
	return out
}
