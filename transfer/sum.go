package transfer

import "crypto/sha256"

// Sum is a SHA-256 hash, zero for none.
type Sum [sha256.Size]byte

// ToSum returns the hash in a message, zero if there is none.
func ToSum(data []byte) Sum {
	if len(data) != sha256.Size {
		return Sum{}
	}
	return Sum(data)
}

// Bytes returns the hash for a message, nil for none.
func (s Sum) Bytes() []byte {
	if s == (Sum{}) {
		return nil
	}
	return s[:]
}
