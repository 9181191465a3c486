package hosted

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"siskincove/database"
	"siskincove/directory"
	"siskincove/event"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/session"
	"siskincove/store"
)

const (
	// maxProofAge is the age up to which a proof that an endpoint leads, that is, is the primary, is sent to peers. Routes
	// allow reads to be a few seconds stale, so older proofs are of little use.
	maxProofAge = 2 * time.Second
	// fetchTimeout bounds a request for a peer's directory.
	fetchTimeout = 500 * time.Millisecond
	// announceTimeout bounds the heartbeats that announce a new primary.
	announceTimeout = 300 * time.Millisecond
	// interestDuration is how long after a statement an instance still wants to receive a database's leads.
	interestDuration = 10 * time.Second
	// maxLeads bounds the leads in a reply. The databases that are left out differ between replies.
	maxLeads = 64
)

// extendHeartbeat adds to a heartbeat the versions of the directory. A request also gets the databases in which this instance
// is interested, and a reply the leads of those in which the sender of the request is.
func (i *Instance) extendHeartbeat(h, request *wire.Heartbeat) {
	<-i.initialized
	v := i.directory.Versions()
	i.observeEra(v.Endpoints.Era())
	h.Configuration, h.Endpoints = v.Configuration, uint64(v.Endpoints)
	if request == nil {
		h.Interests = i.interests()
		return
	}
	h.Leads = i.leadsFor(request.GetInterests())
}

// observeEra reads the list of instances again once the store has been restored from a copy, which may lack this instance.
// Those that read the store see a new era first; the versions in heartbeats tell it to the others.
func (i *Instance) observeEra(era uint64) {
	before := i.era.Swap(era)
	if before == 0 || era <= before {
		return
	}
	i.options.Logger.Log(event.StoreRestored, log.Fields{"era": era, "before": before})
	i.members.RereadRoster()
}

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

// handleHeartbeat processes what extendHeartbeat added to a peer's heartbeat. If h is a reply, sentAt is when this instance
// sent the heartbeat that h answers; otherwise it is zero.
func (i *Instance) handleHeartbeat(h *wire.Heartbeat, sentAt time.Time) {
	<-i.initialized
	for _, lead := range h.GetLeads() {
		if d, ok := i.databases.Get(lead.GetDatabase()); ok {
			i.recordLead(d, lead, sentAt)
		}
	}
	peerVersions := directory.Versions{Configuration: h.GetConfiguration(), Endpoints: store.Version(h.GetEndpoints())}
	if peerVersions.NewerThan(i.directory.Versions()) {
		i.fetchDirectory(peerVersions, h.GetAddress())
	}
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

// fetchDirectory requests the directory of a peer that has a newer one. It does nothing if the versions have been
// received from another peer in the meantime.
func (i *Instance) fetchDirectory(peerVersions directory.Versions, address string) {
	i.fetchMu.Lock()
	defer i.fetchMu.Unlock()
	ownVersions := i.directory.Versions()
	if !peerVersions.NewerThan(ownVersions) {
		return
	}
	for _, acceptsChanges := range []bool{true, false} {
		offer, err := i.inquire(address, ownVersions, acceptsChanges)
		if err != nil {
			i.options.Logger.Log(event.PeerRefused, log.Fields{"address": address, "error": err.Error()})
			return
		}
		if i.directory.Accept(offer) {
			return
		}
	}
}

// inquire asks a peer for what is newer than the given versions.
func (i *Instance) inquire(address string, than directory.Versions, acceptsChanges bool) (directory.Offer, error) {
	ctx, cancel := context.WithTimeout(i.ctx, fetchTimeout)
	defer cancel()
	reply, err := peer.Call(ctx, i.node, address, &wire.Frame{Body: &wire.Frame_Inquiry{Inquiry: &wire.Inquiry{
		Configuration: than.Configuration, Endpoints: uint64(than.Endpoints), Changes: acceptsChanges,
	}}})
	if err != nil {
		return directory.Offer{}, err
	}
	received := reply.GetOffer()
	out := directory.Offer{
		Configuration: fromRow(received.GetConfiguration()), EndpointsVersion: store.Version(received.GetVersion()),
		Partial: received.GetPartial(), Delisted: received.GetDelisted(), Digest: received.GetDigest(),
	}
	for _, row := range received.GetEndpoints() {
		out.Endpoints = append(out.Endpoints, fromRow(row))
	}
	return out, nil
}

// Serve handles one exchange with a peer, whose first frame has been received. It reports whether the stream may carry
// another exchange.
func (i *Instance) Serve(ctx context.Context, first *wire.Frame, stream peer.Stream) bool {
	<-i.initialized
	if i.members.Serve(first, stream) {
		return true
	}
	if detour := first.GetDetour(); detour != nil {
		i.relay(ctx, detour, stream)
		return false
	}
	if loan := first.GetLoan(); loan != nil {
		i.lender.Serve(ctx, loan, stream)
		return false
	}
	inquiry := first.GetInquiry()
	if inquiry == nil {
		return false
	}
	offer := i.directory.Offer(directory.Versions{Configuration: inquiry.GetConfiguration(), Endpoints: store.Version(inquiry.GetEndpoints())}, inquiry.GetChanges())
	answer := &wire.Offer{
		Configuration: toRow(offer.Configuration), Version: uint64(offer.EndpointsVersion), Partial: offer.Partial, Delisted: offer.Delisted,
		Digest: offer.Digest,
	}
	for _, row := range offer.Endpoints {
		answer.Endpoints = append(answer.Endpoints, toRow(row))
	}
	return stream.Send(&wire.Frame{Body: &wire.Frame_Offer{Offer: answer}}) == nil
}

func toRow(row store.Row) *wire.Row {
	return &wire.Row{Key: row.Key.Key, Value: row.Value, Version: uint64(row.Version)}
}

func fromRow(row *wire.Row) store.Row {
	return store.Row{Key: store.Key{Key: row.GetKey()}, Value: row.GetValue(), Version: store.Version(row.GetVersion())}
}

// announce sends a heartbeat with the lead of a database to every live peer at once, so that they learn of a new primary
// without waiting for the next round.
func (i *Instance) announce(name string) {
	ctx, cancel := context.WithTimeout(i.ctx, announceTimeout)
	defer cancel()
	d, ok := i.databases.Get(name)
	if !ok {
		return
	}
	i.members.Announce(ctx, func(h *wire.Heartbeat) {
		h.Leads = slices.DeleteFunc(h.Leads, func(l *wire.Lead) bool { return l.GetDatabase() == name })
		if lead := provenLead(d, i.options.Clock.Now()); lead != nil {
			h.Leads = append(h.Leads, lead)
		}
	})
}
