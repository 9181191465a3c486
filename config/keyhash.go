package config

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// KeyHash is the SHA-256 hash of a key. Keys themselves are neither stored nor logged.
type KeyHash [sha256.Size]byte

// emptyKeyHash is the hash of the empty key, which callers without a key present and no workspace can hold.
var emptyKeyHash = HashKey("")

// maskedHashBytes is how much of a hash remains when it is masked.
const maskedHashBytes = 4

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// IsEmpty reports whether the hash is that of the empty key.
func (h KeyHash) IsEmpty() bool { return h == emptyKeyHash }

// masked returns the hash with zeros after its first bytes, which show that a key changed.
func (h KeyHash) masked() KeyHash {
	var out KeyHash
	copy(out[:maskedHashBytes], h[:])
	return out
}

// MarshalText returns the hash in hexadecimal.
func (h KeyHash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, h[:]), nil }

// UnmarshalText parses a hash in hexadecimal. Its error does not contain the text, which may be a key by mistake.
func (h *KeyHash) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(string(text))
	if err != nil || len(data) != len(h) {
		return errors.New("not the hash of a key; make one with siskincove key")
	}
	copy(h[:], data)
	return nil
}
