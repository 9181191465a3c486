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
	// leadAge is how old a proof of a primary's lead may be to be worth telling; allowances are some seconds.
	leadAge = 2 * time.Second
	// fetchTimeout bounds the question for a peer's directory.
	fetchTimeout = 500 * time.Millisecond
	// announceTimeout bounds a heartbeat that tells of a new primary.
	announceTimeout = 300 * time.Millisecond
)

// extend adds to a heartbeat which endpoints provably lead and how new the directory is.
func (i *Instance) extend(h *wire.Heartbeat) {
	<-i.wired
	v := i.directory.Versions()
	h.Configuration, h.Endpoints = v.Configuration, v.Endpoints
	now := i.options.Clock.Now()
	for _, d := range i.databases.All() {
		lead, ok := d.View().Lead()
		if !ok || lead.Claimed || now.Sub(lead.At) > leadAge {
			continue
		}
		told := &wire.Lead{Database: d.Name(), Endpoint: lead.Endpoint, Age: peer.Micros(now.Sub(lead.At))}
		if c, ok := d.View().Certificate(); ok && c.At.Equal(lead.At) {
			told.Position = peer.ToPosition(c.Position)
		}
		h.Leads = append(h.Leads, told)
	}
}

// absorb takes in what a peer's heartbeat adds.
func (i *Instance) absorb(h *wire.Heartbeat, asked time.Time) {
	<-i.wired
	for _, told := range h.GetLeads() {
		if d, ok := i.databases.Get(told.GetDatabase()); ok {
			i.learn(d, told, asked)
		}
	}
	theirs := directory.Versions{Configuration: h.GetConfiguration(), Endpoints: h.GetEndpoints()}
	if theirs.NewerThan(i.directory.Versions()) {
		i.fetch(theirs, h.GetAddress())
	}
}

// learn takes in who led a database. In an answer, an age counts from when this instance asked: the answer can't be
// older than the question, however long it was under way. A heartbeat that answers none gives only a hint.
func (i *Instance) learn(d *database.Database, told *wire.Lead, asked time.Time) {
	age := peer.Duration(told.GetAge())
	if asked.IsZero() {
		d.RecordLeadHint(told.GetEndpoint(), i.options.Clock.Now().Add(-age))
		return
	}
	d.RecordPeerLead(told.GetEndpoint(), session.FreshnessCertificate{Position: peer.FromPosition(told.GetPosition()), At: asked.Add(-age)})
}

// fetch takes over the directory of a peer that has a newer one, unless another peer has given as much by now.
func (i *Instance) fetch(theirs directory.Versions, address string) {
	i.fetching.Lock()
	defer i.fetching.Unlock()
	ours := i.directory.Versions()
	if !theirs.NewerThan(ours) {
		return
	}
	ctx, cancel := context.WithTimeout(i.ctx, fetchTimeout)
	defer cancel()
	reply, err := peer.Call(ctx, i.node, address, &wire.Frame{Body: &wire.Frame_Inquiry{Inquiry: &wire.Inquiry{
		Configuration: ours.Configuration, Endpoints: ours.Endpoints,
	}}})
	if err != nil {
		i.options.Logger.Log(event.PeerRefused, log.Fields{"address": address, "error": err.Error()})
		return
	}
	got := reply.GetOffer()
	offer := directory.Offer{Configuration: fromRow(got.GetConfiguration()), Version: got.GetVersion()}
	for _, row := range got.GetEndpoints() {
		offer.Endpoints = append(offer.Endpoints, fromRow(row))
	}
	i.directory.Accept(offer)
}

// Serve answers an exchange that a peer begins.
func (i *Instance) Serve(ctx context.Context, first *wire.Frame, stream peer.Stream) bool {
	<-i.wired
	if i.members.Serve(first, stream) {
		return true
	}
	if detour := first.GetDetour(); detour != nil {
		i.relay(ctx, detour, stream)
		return false
	}
	if asked := first.GetLoan(); asked != nil {
		i.lender.Serve(ctx, asked, stream)
		return false
	}
	inquiry := first.GetInquiry()
	if inquiry == nil {
		return false
	}
	offer := i.directory.Offer(directory.Versions{Configuration: inquiry.GetConfiguration(), Endpoints: inquiry.GetEndpoints()})
	answer := &wire.Offer{Configuration: toRow(offer.Configuration), Version: offer.Version}
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

// announce tells every live peer of a new primary at once.
func (i *Instance) announce(string) {
	ctx, cancel := context.WithTimeout(i.ctx, announceTimeout)
	defer cancel()
	i.members.Announce(ctx)
}
