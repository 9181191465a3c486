package hosted

import (
	"context"
	"time"

	"siskincove/directory"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/store"
)

// inquiryTimeout bounds an inquiry for a peer's directory.
const inquiryTimeout = 500 * time.Millisecond

// inquire asks a peer for what is newer than the given versions. It records the proof in the answer.
func (i *Instance) inquire(ctx context.Context, address string, than directory.Versions, acceptsChanges bool) (directory.Offer, error) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
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

// offer returns the answer to a peer's inquiry.
func (i *Instance) offer(inquiry *wire.Inquiry) *wire.Offer {
	than := directory.Versions{Configuration: inquiry.GetConfiguration(), Endpoints: store.Version(inquiry.GetEndpoints())}
	offer := i.directory.Offer(than, inquiry.GetChanges())
	answer := &wire.Offer{
		Configuration: toRow(offer.Configuration), Version: uint64(offer.EndpointsVersion), Partial: offer.Partial, Delisted: offer.Delisted,
		Digest: offer.Digest,
	}
	for _, row := range offer.Endpoints {
		answer.Endpoints = append(answer.Endpoints, toRow(row))
	}
	i.addOffered(answer)
	return answer
}

func toRow(row store.Row) *wire.Row {
	return &wire.Row{Key: row.Key.Key, Value: row.Value, Version: uint64(row.Version)}
}

func fromRow(row *wire.Row) store.Row {
	return store.Row{Key: store.Key{Key: row.GetKey()}, Value: row.GetValue(), Version: store.Version(row.GetVersion())}
}
