package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// Set holds all declared objects of one configuration.
type Set struct {
	Services   []Service   `toml:"service" json:"service"`
	Databases  []Database  `toml:"database" json:"database"`
	Endpoints  []Endpoint  `toml:"endpoint" json:"endpoint"`
	Routes     []Route     `toml:"route" json:"route"`
	Allowances []Allowance `toml:"allowance" json:"allowance"`
	Limits     []Limit     `toml:"limit" json:"limit"`
	Callers    []Caller    `toml:"caller" json:"caller"`
	Workspaces []Workspace `toml:"workspace" json:"workspace,omitempty"`
}

// Sorted returns a copy whose objects are ordered by name.
func (s Set) Sorted() Set {
	return Set{
		Services:   sorted(s.Services, func(o Service) string { return o.Name }),
		Databases:  sorted(s.Databases, func(o Database) string { return o.Name }),
		Endpoints:  sorted(s.Endpoints, func(o Endpoint) string { return o.Name }),
		Routes:     sorted(s.Routes, func(o Route) string { return o.Name }),
		Allowances: sorted(s.Allowances, func(o Allowance) string { return o.Name }),
		Limits:     sorted(s.Limits, func(o Limit) string { return o.Name }),
		Callers:    sorted(s.Callers, func(o Caller) string { return o.Name }),
		Workspaces: sorted(s.Workspaces, func(o Workspace) string { return o.Name }),
	}
}

func sorted[T any](objects []T, name func(T) string) []T {
	type place struct {
		name  string
		index int
	}
	// Objects are large, so only their places are moved while they are sorted.
	order := make([]place, len(objects))
	for n, o := range objects {
		order[n] = place{name(o), n}
	}
	slices.SortFunc(order, func(a, b place) int {
		if c := cmp.Compare(a.name, b.name); c != 0 {
			return c
		}
		return a.index - b.index
	})
	out := slices.Clone(objects)
	for n, p := range order {
		out[n] = objects[p.index]
	}
	return out
}

// Encode returns the canonical encoding of the set: JSON with the objects ordered by name.
func (s Set) Encode() ([]byte, error) {
	data, err := json.Marshal(s.Sorted())
	return data, errors.Wrap(err, "encoding objects")
}

// Decode decodes the result of Encode.
func Decode(data []byte) (Set, error) {
	var s Set
	err := json.Unmarshal(data, &s)
	return s, errors.Wrap(err, "decoding objects")
}

// Hash returns the content hash under which an encoded set is stored: SHA-256 in hexadecimal.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
