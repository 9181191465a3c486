package config

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Workspace is a customer whose callers present keys and share an allotment of operations.
type Workspace struct {
	Name string `toml:"name" json:"name"`
	// Keys are the hashes of the keys by which callers show that they belong to the workspace.
	Keys []KeyHash `toml:"keys" json:"keys"`
	// Priority ranks workspaces when not all requests can be served; 0 is the highest.
	Priority int `toml:"priority" json:"priority,omitempty"`
	// Rate is the number of operations per second that the workspace may run on all instances together, and Burst the number
	// that it may run at once after a pause. An operation is a transaction or a statement outside one.
	Rate  float64 `toml:"rate" json:"rate"`
	Burst float64 `toml:"burst" json:"burst"`
}

// KeyHash is the SHA-256 hash of a key. Keys themselves are neither stored nor logged.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText returns the hash in hexadecimal.
func (h KeyHash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, h[:]), nil }

// UnmarshalText parses a hash in hexadecimal.
func (h *KeyHash) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(string(text))
	if err != nil || len(data) != len(h) {
		return errors.Newf("not a SHA-256 hash in hexadecimal")
	}
	copy(h[:], data)
	return nil
}
