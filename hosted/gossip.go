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

// extendHeartbeat adds to a heartbeat the versions of the directory and the promotions that may be outstanding. A request also gets
// the databases in which this instance is interested, and a reply the leads of those in which the sender of the request is, and what
// was acknowledged in those of its outstanding promotions.
func (i *Instance) extendHeartbeat(h, request *wire.Heartbeat) {
	<-i.initialized
	if request != nil {
		i.addConfirmed(h)
		h.Taken = i.takenReads(request.GetWanted())
	}
	v := i.directory.Versions()
	i.observeEra(v.Endpoints.Era())
	h.Configuration, h.Endpoints = v.Configuration, uint64(v.Endpoints)
	h.Promotions = i.promotions()
	if request == nil {
		h.Interests = i.interests()
		return
	}
	h.Leads = i.leadsFor(request.GetInterests())
	h.Acknowledgements = i.acknowledgementsFor(request.GetPromotions())
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
	if sentAt.IsZero() {
		i.takeReads(h.GetWanted())
	}
	for _, lead := range h.GetLeads() {
		if d, ok := i.databases.Get(lead.GetDatabase()); ok {
			i.recordLead(d, lead, sentAt)
		}
	}
	for _, p := range h.GetPromotions() {
		if d, ok := i.databases.Get(p.GetDatabase()); ok {
			i.recordPromotion(d, p)
		}
	}
	for _, a := range h.GetAcknowledgements() {
		if d, ok := i.databases.Get(a.GetDatabase()); ok {
			i.recordAcknowledgement(d, a)
		}
	}
	peerVersions := directory.Versions{Configuration: h.GetConfiguration(), Endpoints: store.Version(h.GetEndpoints())}
	i.fetcher.announce(peerVersions, h.GetAddress(), h.GetDomain())
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
	if pull := first.GetPull(); pull != nil {
		return i.servePull(pull, stream)
	}
	inquiry := first.GetInquiry()
	if inquiry == nil {
		return false
	}
	return stream.Send(&wire.Frame{Body: &wire.Frame_Offer{Offer: i.offer(inquiry)}}) == nil
}
