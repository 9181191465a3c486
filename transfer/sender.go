package transfer

import (
	"slices"
	"time"
)

// Sender answers requests for the pieces of documents. It must not be used by two goroutines at once.
type Sender struct {
	admission  Admission
	compressor Compressor
	documents  []Document
	compressed map[Hash][]byte
}

// Send returns the compressed pieces that a receiver asks for, without those that no document has. If the receiver is not served now, it
// returns when to ask again. missing is how many bytes the receiver lacks.
func (s *Sender) Send(documents []Document, receiver string, hashes []Hash, missing int, now time.Time) ([]Piece, time.Duration, error) {
	var wait time.Duration
	if s.admission, wait = s.admission.With(receiver, missing, now); wait > 0 {
		return nil, wait, nil
	}
	s.use(documents)
	var out []Piece
	for size := 0; len(hashes) > 0 && size <= RequestBytes; hashes = hashes[1:] {
		data, known := s.piece(hashes[0])
		if !known {
			continue
		}
		size += len(data)
		compressed, err := s.compress(hashes[0], data)
		if err != nil {
			return nil, 0, err
		}
		out = append(out, Piece{Hash: hashes[0], Data: compressed})
	}
	return out, 0, nil
}

// use keeps the compressed pieces that the documents have, and no others.
func (s *Sender) use(documents []Document) {
	sameValue := func(a, b Document) bool { return a.manifest.Digest == b.manifest.Digest }
	if s.compressed != nil && slices.EqualFunc(documents, s.documents, sameValue) {
		return
	}
	kept := make(map[Hash][]byte)
	s.documents = documents
	for h, data := range s.compressed {
		if _, ok := s.piece(h); ok {
			kept[h] = data
		}
	}
	s.compressed = kept
}

func (s *Sender) piece(h Hash) ([]byte, bool) {
	for _, d := range s.documents {
		if data, ok := d.Piece(h); ok {
			return data, true
		}
	}
	return nil, false
}

func (s *Sender) compress(h Hash, data []byte) ([]byte, error) {
	if known, ok := s.compressed[h]; ok {
		return known, nil
	}
	compressed, err := s.compressor.Compress(data)
	if err == nil {
		s.compressed[h] = compressed
	}
	return compressed, err
}
