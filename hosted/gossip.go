package hosted

import (
	"context"
	"time"

	"github.com/apex/log"

	"siskincove/directory"
	"siskincove/event"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/store"
)

// fetchTimeout bounds a request for a peer's directory.
const fetchTimeout = 500 * time.Millisecond

// extendHeartbeat adds to a heartbeat the versions of the directory. A request also gets the databases in which this instance
// is interested, and a reply the leads of those in which the sender of the request is.
func (i *Instance) extendHeartbeat(h, request *wire.Heartbeat) {
	<-i.initialized
	if request != nil {
		i.addConfirmed(h)
	}
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
	if era <= before {
		return
	}
	i.freshness.RecordEra(era)
	if before == 0 {
		return
	}
	i.options.Logger.Log(event.StoreRestored, log.Fields{"era": era, "before": before})
	i.members.RereadRoster()
}

// handleHeartbeat processes what extendHeartbeat added to a peer's heartbeat. If h is a reply, sentAt is when this instance
// sent the heartbeat that h answers; otherwise it is zero.
func (i *Instance) handleHeartbeat(h *wire.Heartbeat, sentAt time.Time) {
	<-i.initialized
	i.recordConfirmed(h, sentAt)
	for _, lead := range h.GetLeads() {
		if d, ok := i.databases.Get(lead.GetDatabase()); ok {
			i.recordLead(d, lead, sentAt)
		}
	}
	peerVersions := directory.Versions{Configuration: h.GetConfiguration(), Endpoints: store.Version(h.GetEndpoints())}
	if peerVersions.NewerThan(i.directory.Versions()) {
		i.fetchSoon(peerVersions, h.GetAddress(), h.GetDomain())
	}
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
		started := i.options.Clock.Now()
		offer, err := i.inquire(i.ctx, address, ownVersions, acceptsChanges)
		fields := log.Fields{
			"address": address, "configuration": peerVersions.Configuration, "endpoints": peerVersions.Endpoints,
			"took": i.options.Clock.Now().Sub(started).String(),
		}
		if err != nil {
			fields["error"] = err.Error()
			i.options.Logger.Log(event.DirectoryFailed, fields)
			return
		}
		fields["bytes"] = offer.Bytes()
		i.options.Logger.Log(event.DirectoryReceived, fields)
		if i.directory.Accept(offer) {
			return
		}
	}
}

// inquire asks a peer for what is newer than the given versions. It records the proof in the answer.
func (i *Instance) inquire(ctx context.Context, address string, than directory.Versions, acceptsChanges bool) (directory.Offer, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sentAt := i.options.Clock.Now()
	reply, err := peer.Call(ctx, i.node, address, &wire.Frame{Body: &wire.Frame_Inquiry{Inquiry: &wire.Inquiry{
		Configuration: than.Configuration, Endpoints: uint64(than.Endpoints), Changes: acceptsChanges,
	}}})
	if err != nil {
		return directory.Offer{}, err
	}
	received := reply.GetOffer()
	i.recordOffered(received, sentAt)
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
	if draw := first.GetDraw(); draw != nil {
		return i.allotments.serve(draw, stream)
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
	i.addOffered(answer)
	return stream.Send(&wire.Frame{Body: &wire.Frame_Offer{Offer: answer}}) == nil
}

func toRow(row store.Row) *wire.Row {
	return &wire.Row{Key: row.Key.Key, Value: row.Value, Version: uint64(row.Version)}
}

func fromRow(row *wire.Row) store.Row {
	return store.Row{Key: store.Key{Key: row.GetKey()}, Value: row.GetValue(), Version: store.Version(row.GetVersion())}
}
