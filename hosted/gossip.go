package hosted

import (
	"context"
	"time"

	"github.com/apex/log"

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
)

// extendHeartbeat adds to a heartbeat the versions of the directory and the primaries for which this instance has a recent
// proof, rather than only a registration or a peer's hint.
func (i *Instance) extendHeartbeat(h *wire.Heartbeat) {
	<-i.initialized
	v := i.directory.Versions()
	h.Configuration, h.Endpoints = v.Configuration, v.Endpoints
	now := i.options.Clock.Now()
	for _, d := range i.databases.All() {
		lead, ok := d.View().Lead()
		if !ok || lead.Claimed || now.Sub(lead.At) > maxProofAge {
			continue
		}
		// The newest certificate's position belongs to this proof only if both are of the same time.
		message := &wire.Lead{Database: d.Name(), Endpoint: lead.Endpoint, Age: peer.Micros(now.Sub(lead.At))}
		if c, ok := d.View().Certificate(); ok && c.At.Equal(lead.At) {
			message.Position = peer.ToPosition(c.Position)
		}
		h.Leads = append(h.Leads, message)
	}
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
	peerVersions := directory.Versions{Configuration: h.GetConfiguration(), Endpoints: h.GetEndpoints()}
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
	ctx, cancel := context.WithTimeout(i.ctx, fetchTimeout)
	defer cancel()
	reply, err := peer.Call(ctx, i.node, address, &wire.Frame{Body: &wire.Frame_Inquiry{Inquiry: &wire.Inquiry{
		Configuration: ownVersions.Configuration, Endpoints: ownVersions.Endpoints,
	}}})
	if err != nil {
		i.options.Logger.Log(event.PeerRefused, log.Fields{"address": address, "error": err.Error()})
		return
	}
	received := reply.GetOffer()
	offer := directory.Offer{Configuration: fromRow(received.GetConfiguration()), EndpointsVersion: received.GetVersion()}
	for _, row := range received.GetEndpoints() {
		offer.Endpoints = append(offer.Endpoints, fromRow(row))
	}
	i.directory.Accept(offer)
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
	offer := i.directory.Offer(directory.Versions{Configuration: inquiry.GetConfiguration(), Endpoints: inquiry.GetEndpoints()})
	answer := &wire.Offer{Configuration: toRow(offer.Configuration), Version: offer.EndpointsVersion}
	for _, row := range offer.Endpoints {
		answer.Endpoints = append(answer.Endpoints, toRow(row))
	}
	return stream.Send(&wire.Frame{Body: &wire.Frame_Offer{Offer: answer}}) == nil
}

func toRow(row store.Row) *wire.Row {
	return &wire.Row{Key: row.Key.Key, Value: row.Value, Version: row.Version}
}

func fromRow(row *wire.Row) store.Row {
	return store.Row{Key: store.Key{Key: row.GetKey()}, Value: row.GetValue(), Version: row.GetVersion()}
}

// announce sends a heartbeat to every live peer at once, so that they learn of a new primary without waiting for the next
// round. It does not need the database's name, as a heartbeat covers all databases.
func (i *Instance) announce(string) {
	ctx, cancel := context.WithTimeout(i.ctx, announceTimeout)
	defer cancel()
	i.members.Announce(ctx)
}
