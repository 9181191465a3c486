package hosted

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskincove/database"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/session"
)

const (
	// maxProofAge is the age up to which a proof that an endpoint leads, that is, is the primary, is sent to peers. Routes
	// allow reads to be a few seconds stale, so older proofs are of little use.
	maxProofAge = 2 * time.Second
	// announceTimeout bounds the heartbeats that announce a new primary.
	announceTimeout = 300 * time.Millisecond
	// interestDuration is how long after a statement an instance still wants to receive a database's leads.
	interestDuration = 10 * time.Second
	// maxLeads bounds the leads in a reply. The databases that are left out differ between replies.
	maxLeads = 64
)

// interests returns the hashes of the databases that callers of this instance use or that it coordinates.
func (i *Instance) interests() []uint32 {
	var out []uint32
	for _, d := range i.databases.All() {
		if d.UsedWithin(interestDuration) || i.coordinators.Runs(d.Name()) {
			out = append(out, interestHash(d.Name()))
		}
	}
	return out
}

// interestHash returns the hash by which heartbeats name a database.
func interestHash(database string) uint32 { return uint32(xxhash.Sum64String(database)) }

// leadsFor returns the leads of at most maxLeads of the databases with the given hashes.
func (i *Instance) leadsFor(hashes []uint32) []*wire.Lead {
	wanted := make(map[uint32]struct{}, len(hashes))
	for _, hash := range hashes {
		wanted[hash] = struct{}{}
	}
	var out []*wire.Lead
	now := i.options.Clock.Now()
	for _, d := range rotated(i.databases.All(), rand.IntN) {
		if _, ok := wanted[interestHash(d.Name())]; !ok {
			continue
		}
		if lead := provenLead(d, now); lead != nil && len(out) < maxLeads {
			out = append(out, lead)
		}
	}
	return out
}

// rotated returns a slice that starts at a position chosen by pick and continues from the start.
func rotated[T any](in []T, pick func(n int) int) []T {
	if len(in) == 0 {
		return nil
	}
	first := pick(len(in))
	return slices.Concat(in[first:], in[:first])
}

// provenLead returns the message about a database's primary, or nil unless this instance has a recent proof of its lead,
// rather than only a registration or a peer's hint.
func provenLead(d *database.Database, now time.Time) *wire.Lead {
	lead, ok := d.View().Lead()
	if !ok || lead.Claimed || now.Sub(lead.At) > maxProofAge {
		return nil
	}
	out := &wire.Lead{Database: d.Name(), Endpoint: lead.Endpoint, Age: peer.Micros(now.Sub(lead.At))}
	// The newest certificate's position belongs to this proof only if both are of the same time.
	if c, ok := d.View().Certificate(); ok && c.At.Equal(lead.At) {
		out.Position = peer.ToPosition(c.Position)
	}
	return out
}

// recordLead records which endpoint leads a database according to a peer. If the peer's heartbeat is a reply, the time of
// the proof is taken to be its age before this instance sent the request. The peer stated the age after that, so the
// result may be too early but never too late. A heartbeat that is not a reply may have been delayed for any time, so its
// lead is recorded only as a hint.
func (i *Instance) recordLead(d *database.Database, lead *wire.Lead, sentAt time.Time) {
	age := peer.Duration(lead.GetAge())
	if sentAt.IsZero() {
		d.RecordLeadHint(lead.GetEndpoint(), i.options.Clock.Now().Add(-age))
		return
	}
	d.RecordPeerLead(lead.GetEndpoint(), session.FreshnessCertificate{Position: peer.FromPosition(lead.GetPosition()), At: sentAt.Add(-age)})
}

// announce sends a heartbeat with the lead of a database to every live peer at once, so that they learn of a new primary, or that
// one is being replaced, without waiting for the next round.
func (i *Instance) announce(name string) {
	ctx, cancel := context.WithTimeout(i.ctx, announceTimeout)
	defer cancel()
	d, ok := i.databases.Get(name)
	if !ok {
		return
	}
	i.members.Announce(ctx, func(h *wire.Heartbeat) { i.addAnnouncement(h, d) })
}

// addAnnouncement adds the lead and all promotions of a database to a heartbeat, which may have left them out.
func (i *Instance) addAnnouncement(h *wire.Heartbeat, d *database.Database) {
	h.Leads = slices.DeleteFunc(h.Leads, func(l *wire.Lead) bool { return l.GetDatabase() == d.Name() })
	h.Promotions = append(slices.DeleteFunc(h.Promotions, func(p *wire.Promotion) bool { return p.GetDatabase() == d.Name() }), i.promotionsOf(d)...)
	if lead := provenLead(d, i.options.Clock.Now()); lead != nil && !d.IsBeingReplaced(lead.GetEndpoint()) {
		h.Leads = append(h.Leads, lead)
	}
}
