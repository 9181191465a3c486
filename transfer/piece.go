package transfer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// minPieceBytes and MaxPieceBytes bound the size of a piece; the last one of a value may be smaller.
	minPieceBytes = 2 << 10
	// MaxPieceBytes is the size of the largest piece.
	MaxPieceBytes = 32 << 10
	// cutBits is how many bits of the window have to be zero for a cut, so that a piece has 8 KB more than minPieceBytes on average.
	cutBits = 13
)

// Hash is a checksum of a piece's content, by which the pieces of one value are asked for. Two pieces can be built to have the same one.
type Hash uint64

// Piece is a part of a value.
type Piece struct {
	Hash Hash
	Data []byte
}

// HashOf returns the hash of a piece's content.
func HashOf(data []byte) Hash { return Hash(xxhash.Sum64(data)) }

// gear holds a random number for each value of a byte.
var gear = func() (out [256]uint64) {
	for n := range out {
		var key [8]byte
		binary.BigEndian.PutUint64(key[:], uint64(n))
		out[n] = xxhash.Sum64(key[:])
	}
	return out
}()

// Split cuts a value into pieces. Where it is cut depends only on the bytes just before, so that two values which share a long part
// share its pieces. The pieces refer to the value.
func Split(value []byte) []Piece {
	var out []Piece
	for len(value) > 0 {
		n := cutLength(value)
		out = append(out, Piece{Hash: HashOf(value[:n]), Data: value[:n:n]})
		value = value[n:]
	}
	return out
}

// cutLength returns the length of the first piece of a value.
func cutLength(value []byte) int {
	limit := min(len(value), MaxPieceBytes)
	var window uint64
	for n := range limit {
		window = window<<1 + gear[value[n]]
		// The high bits depend on the last 64 bytes, the low ones only on the last few.
		if n+1 >= minPieceBytes && window>>(64-cutBits) == 0 {
			return n + 1
		}
	}
	return limit
}
