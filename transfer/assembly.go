package transfer

import (
	"crypto/sha256"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the size of the largest value that is accepted; it exceeds the largest row of a store.
const MaxValueBytes = 20 << 20

// ErrOtherValue is returned if the pieces of a manifest give another value, since two pieces have the same hash.
var ErrOtherValue = errors.New("pieces give another value")

// PieceSource has pieces, such as a Document or an Assembly.
type PieceSource interface {
	// Piece returns the content of a piece, and false if the source does not have it.
	Piece(h Hash) ([]byte, bool)
}

// Assembly is a value of which some pieces have arrived. It is immutable; the zero value is of no manifest.
type Assembly struct {
	manifest Manifest
	pieces   map[Hash][]byte
	missing  int
}

// NewAssembly returns the assembly of a manifest, with the pieces that the sources have. It returns an error if the manifest is
// malformed.
func NewAssembly(m Manifest, sources ...PieceSource) (Assembly, error) {
	if err := m.check(); err != nil {
		return Assembly{}, err
	}
	a := Assembly{manifest: m, pieces: make(map[Hash][]byte, len(m.Hashes))}
	for _, h := range m.Hashes {
		for _, s := range sources {
			if data, ok := s.Piece(h); ok {
				a.pieces[h] = data
				break
			}
		}
	}
	a.missing = a.count()
	return a, nil
}

// check returns an error unless each piece has a size within the bounds.
func (m Manifest) check() error {
	if len(m.Hashes) != len(m.Sizes) {
		return errors.Newf("%d pieces with %d sizes", len(m.Hashes), len(m.Sizes))
	}
	for _, n := range m.Sizes {
		if n <= 0 || n > MaxPieceBytes {
			return errors.Newf("piece of %d bytes", n)
		}
	}
	if size := m.Size(); size > MaxValueBytes {
		return errors.Newf("value of %d bytes exceeds %d", size, MaxValueBytes)
	}
	return nil
}

// count returns how many bytes are missing. A piece that occurs several times counts once.
func (a Assembly) count() int {
	n, counted := 0, make(map[Hash]bool)
	for index, h := range a.manifest.Hashes {
		if _, ok := a.pieces[h]; !ok && !counted[h] {
			counted[h] = true
			n += a.manifest.Sizes[index]
		}
	}
	return n
}

// Missing returns how many bytes have not arrived.
func (a Assembly) Missing() int { return a.missing }

// Next returns the first missing pieces, at least one and at most limit bytes; none if nothing is missing.
func (a Assembly) Next(limit int) []Hash {
	var out []Hash
	size, chosen := 0, make(map[Hash]bool)
	for index, h := range a.manifest.Hashes {
		if _, ok := a.pieces[h]; ok || chosen[h] {
			continue
		}
		if size += a.manifest.Sizes[index]; size > limit && len(out) > 0 {
			break
		}
		chosen[h] = true
		out = append(out, h)
	}
	return out
}

// With returns the assembly with further pieces, and how many of them it did not have. Pieces of other values are left out. It returns
// an error for one whose content does not match its hash; those before it are included.
func (a Assembly) With(pieces []Piece) (Assembly, int, error) {
	next := Assembly{manifest: a.manifest, pieces: maps.Clone(a.pieces)}
	var err error
	for _, p := range pieces {
		if HashOf(p.Data) != p.Hash {
			err = errors.Newf("piece %016x has the content of %016x", uint64(p.Hash), uint64(HashOf(p.Data)))
			break
		}
		if slices.Contains(a.manifest.Hashes, p.Hash) {
			next.pieces[p.Hash] = p.Data
		}
	}
	next.missing = next.count()
	return next, len(next.pieces) - len(a.pieces), err
}

// Piece implements PieceSource.
func (a Assembly) Piece(h Hash) ([]byte, bool) {
	data, ok := a.pieces[h]
	return data, ok
}

// Value returns the value once nothing is missing. It returns ErrOtherValue if the pieces do not give the value of the manifest.
func (a Assembly) Value() ([]byte, error) {
	out := make([]byte, 0, a.manifest.Size())
	for _, h := range a.manifest.Hashes {
		data, ok := a.pieces[h]
		if !ok {
			return nil, errors.Newf("piece %016x is missing", uint64(h))
		}
		out = append(out, data...)
	}
	if a.manifest.Sum != (Sum{}) {
		if sum := sha256.Sum256(out); sum != a.manifest.Sum {
			return nil, errors.Wrapf(ErrOtherValue, "value with hash %x, want %x", sum, a.manifest.Sum)
		}
		return out, nil
	}
	if digest := xxhash.Sum64(out); digest != a.manifest.Digest {
		return nil, errors.Wrapf(ErrOtherValue, "value with hash %016x, want %016x", digest, a.manifest.Digest)
	}
	return out, nil
}
