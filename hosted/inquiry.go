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
	"siskincove/transfer"
)

const (
	// inquiryTimeout bounds an inquiry for a peer's directory.
	inquiryTimeout = 500 * time.Millisecond
	// wholeTimeout bounds one whose answer holds large values whole.
	wholeTimeout = 10 * time.Second
)

// inquire asks a peer for what is newer than the given versions. It records the proof in the answer.
func (i *Instance) inquire(ctx context.Context, address string, than directory.Versions, acceptsChanges bool) (directory.Offer, error) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	return i.sendInquiry(ctx, address, &wire.Inquiry{
		Configuration: than.Configuration, Endpoints: uint64(than.Endpoints), Changes: acceptsChanges, Pieces: true,
	})
}

// inquireWhole is inquire for an answer without pieces.
func (i *Instance) inquireWhole(ctx context.Context, address string, than directory.Versions) (directory.Offer, error) {
	ctx, cancel := context.WithTimeout(ctx, wholeTimeout)
	defer cancel()
	return i.sendInquiry(ctx, address, &wire.Inquiry{Configuration: than.Configuration, Endpoints: uint64(than.Endpoints)})
}

func (i *Instance) sendInquiry(ctx context.Context, address string, inquiry *wire.Inquiry) (directory.Offer, error) {
	sentAt := i.options.Clock.Now()
	reply, err := peer.Call(ctx, i.node, address, &wire.Frame{Body: &wire.Frame_Inquiry{Inquiry: inquiry}})
	if err != nil {
		return directory.Offer{}, err
	}
	received := reply.GetOffer()
	i.recordOffered(received, sentAt)
	out := directory.Offer{
		Configuration: fromRow(received.GetConfiguration()), EndpointsVersion: store.Version(received.GetVersion()),
		Partial: received.GetPartial(), Delisted: received.GetDelisted(), Digest: received.GetDigest(),
		Manifest: peer.FromManifest(received.GetManifest()), Offered: received.GetOffered(), Table: peer.FromManifest(received.GetTable()),
		Endpoints: fromRows(received.GetEndpoints()), Sum: transfer.ToSum(received.GetSum()),
	}
	return out, nil
}

// offer returns the answer to a peer's inquiry.
func (i *Instance) offer(inquiry *wire.Inquiry) *wire.Offer {
	than := directory.Versions{Configuration: inquiry.GetConfiguration(), Endpoints: store.Version(inquiry.GetEndpoints())}
	offer := i.directory.Offer(than, inquiry.GetChanges())
	answer := &wire.Offer{
		Configuration: toRow(offer.Configuration), Version: uint64(offer.EndpointsVersion), Partial: offer.Partial, Delisted: offer.Delisted,
		Digest: offer.Digest, Sum: offer.Sum.Bytes(), Offered: offer.Offered,
	}
	if inquiry.GetPieces() && !offer.Document.Empty() {
		answer.Configuration.Value, answer.Manifest = nil, peer.ToManifest(offer.Document.Manifest())
	}
	if inquiry.GetPieces() && !offer.Partial && offer.Bytes()-len(offer.Configuration.Value) >= transfer.MinDocumentBytes {
		answer.Table = peer.ToManifest(i.tables.document(offer).Manifest())
	} else {
		answer.Endpoints = toRows(offer.Endpoints)
	}
	i.addOffered(answer)
	return answer
}

// servePull answers a peer's request for pieces. It reports whether the stream may carry another exchange.
func (i *Instance) servePull(pull *wire.Pull, stream peer.Stream) bool {
	answer, err := i.pieces.Answer(pull, i.options.Clock.Now(), i.directory.Document(), i.tables.latest())
	if err != nil {
		i.options.Logger.Log(event.DirectoryFailed, log.Fields{"instance": pull.GetReceiver(), "error": err.Error()})
		return false
	}
	return stream.Send(&wire.Frame{Body: &wire.Frame_Pieces{Pieces: answer}}) == nil
}

func toRow(row store.Row) *wire.Row {
	return &wire.Row{Key: row.Key.Key, Value: row.Value, Version: uint64(row.Version)}
}

func fromRow(row *wire.Row) store.Row {
	return store.Row{Key: store.Key{Key: row.GetKey()}, Value: row.GetValue(), Version: store.Version(row.GetVersion())}
}

func toRows(rows []store.Row) []*wire.Row {
	out := make([]*wire.Row, 0, len(rows))
	for _, row := range rows {
		out = append(out, toRow(row))
	}
	return out
}

func fromRows(rows []*wire.Row) []store.Row {
	out := make([]store.Row, 0, len(rows))
	for _, row := range rows {
		out = append(out, fromRow(row))
	}
	return out
}
