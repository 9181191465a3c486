package transfer

import "time"

// Sender answers requests for the pieces of a document. It must not be used by two goroutines at once.
type Sender struct {
	admission  Admission
	compressor Compressor
	document   Document
	compressed map[Hash][]byte
}

// Send returns the compressed pieces of a document that a receiver asks for, without those that the document lacks. If the receiver is not
// served now, it returns when to ask again. missing is how many bytes the receiver lacks.
func (s *Sender) Send(d Document, receiver string, hashes []Hash, missing int, now time.Time) ([]Piece, time.Duration, error) {
	var wait time.Duration
	if s.admission, wait = s.admission.With(receiver, missing, now); wait > 0 {
		return nil, wait, nil
	}
	s.use(d)
	var out []Piece
	for size := 0; len(hashes) > 0 && size <= RequestBytes; hashes = hashes[1:] {
		data, known := d.Piece(hashes[0])
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

// use keeps the compressed pieces that the document has, and no others.
func (s *Sender) use(d Document) {
	if s.document.manifest.Digest == d.manifest.Digest && s.compressed != nil {
		return
	}
	kept := make(map[Hash][]byte)
	for h, data := range s.compressed {
		if _, ok := d.Piece(h); ok {
			kept[h] = data
		}
	}
	s.document, s.compressed = d, kept
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
