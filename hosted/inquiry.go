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
	// inquiryTimeout bounds an inquiry for a peer's directory, and pullTimeout a request for pieces of it.
	inquiryTimeout = 500 * time.Millisecond
	pullTimeout    = time.Second
)

// inquire asks a peer for what is newer than the given versions. It records the proof in the answer.
func (i *Instance) inquire(ctx context.Context, address string, than directory.Versions, acceptsChanges bool) (directory.Offer, error) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	sentAt := i.options.Clock.Now()
	reply, err := peer.Call(ctx, i.node, address, &wire.Frame{Body: &wire.Frame_Inquiry{Inquiry: &wire.Inquiry{
		Configuration: than.Configuration, Endpoints: uint64(than.Endpoints), Changes: acceptsChanges, Pieces: true,
	}}})
	if err != nil {
		return directory.Offer{}, err
	}
	received := reply.GetOffer()
	i.recordOffered(received, sentAt)
	out := directory.Offer{
		Configuration: fromRow(received.GetConfiguration()), EndpointsVersion: store.Version(received.GetVersion()),
		Partial: received.GetPartial(), Delisted: received.GetDelisted(), Digest: received.GetDigest(),
		Manifest: fromManifest(received.GetManifest()), Offered: received.GetOffered(), Table: fromManifest(received.GetTable()),
		Endpoints: fromRows(received.GetEndpoints()),
	}
	return out, nil
}

// offer returns the answer to a peer's inquiry.
func (i *Instance) offer(inquiry *wire.Inquiry) *wire.Offer {
	than := directory.Versions{Configuration: inquiry.GetConfiguration(), Endpoints: store.Version(inquiry.GetEndpoints())}
	offer := i.directory.Offer(than, inquiry.GetChanges())
	answer := &wire.Offer{
		Configuration: toRow(offer.Configuration), Version: uint64(offer.EndpointsVersion), Partial: offer.Partial, Delisted: offer.Delisted,
		Digest: offer.Digest, Offered: offer.Offered,
	}
	if inquiry.GetPieces() && !offer.Document.Empty() {
		answer.Configuration.Value, answer.Manifest = nil, toManifest(offer.Document.Manifest())
	}
	if inquiry.GetPieces() && !offer.Partial && offer.Bytes()-len(offer.Configuration.Value) >= directory.MinDocumentBytes {
		answer.Table = toManifest(i.tables.document(offer).Manifest())
	} else {
		answer.Endpoints = toRows(offer.Endpoints)
	}
	i.addOffered(answer)
	return answer
}

// pull asks a peer for pieces, of which this instance lacks a number of bytes. If the peer serves others, it returns
// when to ask again. It also returns how many bytes were received.
func (i *Instance) pull(ctx context.Context, address string, hashes []transfer.Hash, missing int) ([]transfer.Piece, int, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	request := &wire.Pull{Hashes: toHashes(hashes), Missing: uint64(missing), Receiver: i.options.Settings.Instance.ID}
	reply, err := peer.Call(ctx, i.node, address, &wire.Frame{Body: &wire.Frame_Pull{Pull: request}})
	if err != nil {
		return nil, 0, 0, err
	}
	var out []transfer.Piece
	bytes := 0
	for _, p := range reply.GetPieces().GetPieces() {
		data, err := transfer.Expand(p.GetData())
		if err != nil {
			return out, bytes, 0, err
		}
		bytes += len(p.GetData())
		out = append(out, transfer.Piece{Hash: transfer.Hash(p.GetHash()), Data: data})
	}
	return out, bytes, peer.Duration(reply.GetPieces().GetAfter()), nil
}

// servePull answers a peer's request for pieces. It reports whether the stream may carry another exchange.
func (i *Instance) servePull(pull *wire.Pull, stream peer.Stream) bool {
	hashes := make([]transfer.Hash, len(pull.GetHashes()))
	for n, h := range pull.GetHashes() {
		hashes[n] = transfer.Hash(h)
	}
	i.senderMu.Lock()
	pieces, after, err := i.sender.Send([]transfer.Document{i.directory.Document(), i.tables.latest()}, pull.GetReceiver(), hashes, int(pull.GetMissing()), i.options.Clock.Now())
	i.senderMu.Unlock()
	if err != nil {
		i.options.Logger.Log(event.DirectoryFailed, log.Fields{"instance": pull.GetReceiver(), "error": err.Error()})
		return false
	}
	answer := &wire.Pieces{After: peer.Micros(after)}
	for _, p := range pieces {
		answer.Pieces = append(answer.Pieces, &wire.Piece{Hash: uint64(p.Hash), Data: p.Data})
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

func toHashes(hashes []transfer.Hash) []uint64 {
	out := make([]uint64, len(hashes))
	for n, h := range hashes {
		out[n] = uint64(h)
	}
	return out
}

func toManifest(m transfer.Manifest) *wire.Manifest {
	out := &wire.Manifest{Hashes: toHashes(m.Hashes), Digest: m.Digest}
	for _, n := range m.Sizes {
		out.Sizes = append(out.Sizes, uint32(n))
	}
	return out
}

func fromManifest(m *wire.Manifest) transfer.Manifest {
	out := transfer.Manifest{Digest: m.GetDigest()}
	for _, h := range m.GetHashes() {
		out.Hashes = append(out.Hashes, transfer.Hash(h))
	}
	for _, n := range m.GetSizes() {
		out.Sizes = append(out.Sizes, int(n))
	}
	return out
}
