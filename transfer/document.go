package transfer

import (
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"
)

// MinDocumentBytes is the size from which a value is sent in pieces.
const MinDocumentBytes = 16 << 10

// Manifest lists the pieces of which a value consists.
type Manifest struct {
	Hashes []Hash
	// Sizes are those of the pieces, in bytes.
	Sizes []int
	// Digest is a checksum of the whole value.
	Digest uint64
	// Sum is the hash of the whole value, zero if the sender is of a build that sends only Digest. Two values can be built to have equal
	// checksums, so only Sum proves that the value is the sender's.
	Sum Sum
}

// Size returns the size of the value in bytes.
func (m Manifest) Size() int {
	size := 0
	for _, n := range m.Sizes {
		size += n
	}
	return size
}

// Document is a value with its pieces. It is immutable; the zero value has no pieces.
type Document struct {
	manifest Manifest
	pieces   map[Hash][]byte
}

// NewLargeDocument returns the document of a value if that is large, and otherwise a document without pieces.
func NewLargeDocument(value []byte) Document {
	if len(value) < MinDocumentBytes {
		return Document{}
	}
	return NewDocument(value)
}

// NewDocument returns the document of a value, which must not change afterwards.
func NewDocument(value []byte) Document {
	d := Document{manifest: Manifest{Digest: xxhash.Sum64(value), Sum: sha256.Sum256(value)}, pieces: make(map[Hash][]byte)}
	for _, p := range Split(value) {
		d.manifest.Hashes = append(d.manifest.Hashes, p.Hash)
		d.manifest.Sizes = append(d.manifest.Sizes, len(p.Data))
		d.pieces[p.Hash] = p.Data
	}
	return d
}

// Manifest returns the list of the document's pieces.
func (d Document) Manifest() Manifest { return d.manifest }

// Empty reports whether the document has no pieces.
func (d Document) Empty() bool { return len(d.pieces) == 0 }

// Piece returns the content of a piece, and false if the document has no such piece.
func (d Document) Piece(h Hash) ([]byte, bool) {
	data, ok := d.pieces[h]
	return data, ok
}
