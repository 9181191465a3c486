package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/peer/wire"
	"siskincove/transfer"
)

// pullTimeout bounds one request for pieces.
const pullTimeout = time.Second

var (
	// ErrMoved is returned if a peer no longer has the value that it offered.
	ErrMoved = errors.New("peer has another version by now")
	// ErrObsolete is returned if a value is not needed any more.
	ErrObsolete = errors.New("not needed any more")
)

// BusyError is returned if a peer serves others and wants to be asked again later.
type BusyError struct{ After time.Duration }

// Error implements error.
func (e BusyError) Error() string { return "peer serves others for " + e.After.String() }

// Puller pulls a value in pieces from the instance at Address.
type Puller struct {
	Dialer  Dialer
	Address string
	// Receiver is the ID of this instance.
	Receiver string
	// Own has pieces that need not be pulled.
	Own transfer.Document
	// Arrived holds the pieces that have arrived. It is kept if the pull ends early, and empty once the value is whole.
	Arrived *transfer.Assembly
	// Obsolete, if set, reports before each request whether the value is still needed.
	Obsolete func() bool
}

// Pull returns the value of a manifest and the number of bytes received. Besides the errors above it returns transfer.ErrOtherValue and
// the errors of calls and of damaged pieces.
func (p Puller) Pull(ctx context.Context, m transfer.Manifest) (value []byte, received int, err error) {
	if *p.Arrived, err = transfer.NewAssembly(m, p.Own, *p.Arrived); err != nil {
		return nil, 0, err
	}
	for p.Arrived.Missing() > 0 {
		if p.Obsolete != nil && p.Obsolete() {
			return nil, received, ErrObsolete
		}
		n, err := p.pullNext(ctx)
		received += n
		if err != nil {
			return nil, received, err
		}
	}
	value, err = p.Arrived.Value()
	*p.Arrived = transfer.Assembly{}
	return value, received, err
}

// pullNext asks for the next pieces and adds them to those that have arrived.
func (p Puller) pullNext(ctx context.Context) (received int, err error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	request := &wire.Pull{Hashes: toHashes(p.Arrived.Next(transfer.RequestBytes)), Missing: uint64(p.Arrived.Missing()), Receiver: p.Receiver}
	reply, err := Call(ctx, p.Dialer, p.Address, &wire.Frame{Body: &wire.Frame_Pull{Pull: request}})
	if err != nil {
		return 0, err
	}
	if after := reply.GetPieces().GetAfter(); after > 0 {
		return 0, BusyError{Duration(after)}
	}
	var pieces []transfer.Piece
	for _, piece := range reply.GetPieces().GetPieces() {
		data, err := transfer.Expand(piece.GetData())
		if err != nil {
			return received, err
		}
		received += len(piece.GetData())
		pieces = append(pieces, transfer.Piece{Hash: transfer.Hash(piece.GetHash()), Data: data})
	}
	added := 0
	if *p.Arrived, added, err = p.Arrived.With(pieces); err == nil && added == 0 {
		err = ErrMoved
	}
	return received, err
}

// PieceServer answers the requests of pullers.
type PieceServer struct {
	mu     sync.Mutex
	sender transfer.Sender
}

// Answer returns the answer to a request for pieces of the documents.
func (s *PieceServer) Answer(pull *wire.Pull, now time.Time, documents ...transfer.Document) (*wire.Pieces, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pieces, after, err := s.sender.Send(documents, pull.GetReceiver(), fromHashes(pull.GetHashes()), int(pull.GetMissing()), now)
	out := &wire.Pieces{After: Micros(after)}
	for _, p := range pieces {
		out.Pieces = append(out.Pieces, &wire.Piece{Hash: uint64(p.Hash), Data: p.Data})
	}
	return out, err
}

// ToManifest returns the message of a manifest.
func ToManifest(m transfer.Manifest) *wire.Manifest {
	out := &wire.Manifest{Hashes: toHashes(m.Hashes), Digest: m.Digest, Sum: m.Sum.Bytes()}
	for _, n := range m.Sizes {
		out.Sizes = append(out.Sizes, uint32(n))
	}
	return out
}

// FromManifest returns the manifest in a message, an empty one for nil.
func FromManifest(m *wire.Manifest) transfer.Manifest {
	out := transfer.Manifest{Hashes: fromHashes(m.GetHashes()), Digest: m.GetDigest(), Sum: transfer.ToSum(m.GetSum())}
	for _, n := range m.GetSizes() {
		out.Sizes = append(out.Sizes, int(n))
	}
	return out
}

func toHashes(hashes []transfer.Hash) []uint64 {
	out := make([]uint64, 0, len(hashes))
	for _, h := range hashes {
		out = append(out, uint64(h))
	}
	return out
}

func fromHashes(hashes []uint64) []transfer.Hash {
	out := make([]transfer.Hash, 0, len(hashes))
	for _, h := range hashes {
		out = append(out, transfer.Hash(h))
	}
	return out
}
