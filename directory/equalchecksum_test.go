package directory

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/store"
	"siskincove/transfer"
)

// dependentSubset returns indexes of values whose exclusive or is 0. There is such a subset of any 65 values.
func dependentSubset(values []uint64) []int {
	type row struct {
		value uint64
		of    map[int]bool
	}
	basis := make(map[int]row)
	for n, value := range values {
		r := row{value, map[int]bool{n: true}}
		for r.value != 0 {
			high := bits.Len64(r.value)
			b, ok := basis[high]
			if !ok {
				basis[high] = r
				break
			}
			r.value ^= b.value
			for m := range b.of {
				if r.of[m] = !r.of[m]; !r.of[m] {
					delete(r.of, m)
				}
			}
		}
		if r.value == 0 {
			return slices.Sorted(maps.Keys(r.of))
		}
	}
	return nil
}

// TestEqualChecksums guards against an instance that takes over changes from a peer and ends with other endpoints, since the exclusive
// or of their checksums is the same. Whoever writes 65 entries can choose their values so.
func TestEqualChecksums(t *testing.T) {
	read := func(table map[string]string) Snapshot {
		s, _ := Snapshot{}.With(rows(table), 5, wordDecoder{}, epoch, func(string, error) {})
		return s
	}
	const entries, value, otherValue = 65, "replica ready 1", "replica ready 2"
	table, differences := make(map[string]string), make([]uint64, entries)
	for n := range entries {
		name := fmt.Sprint("e", n)
		table[name] = value
		differences[n] = read(map[string]string{name: value}).Digest() ^ read(map[string]string{name: otherValue}).Digest()
	}
	peer := read(table)
	for _, n := range dependentSubset(differences) {
		table[fmt.Sprint("e", n)] = otherValue
	}
	other := read(table)
	if peer.Digest() != other.Digest() || cmp.Equal(listedRows(peer), listedRows(other)) {
		t.Fatal("want other endpoints with the same checksum")
	}
	tests := map[string]struct {
		rows []store.Row
		sum  transfer.Sum
		want bool
	}{
		"the peer's endpoints": {peer.Rows(), peer.Sum(), true},
		"others":               {other.Rows(), peer.Sum(), false},
		"none":                 {nil, peer.Sum(), false},
		"the peer's endpoints, peer of an older build": {peer.Rows(), transfer.Sum{}, true},
		"none, peer of an older build":                 {nil, transfer.Sum{}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := &Directory{options: Options{
				Decoder: wordDecoder{}, Clock: clock.System{}, Logger: event.Discard(), Regions: func() map[string]string { return nil }, OnChange: func() {},
				Apply: func(*config.Catalog, map[string]string) {},
			}}
			offer := Offer{Endpoints: test.rows, Partial: true, EndpointsVersion: 5, Digest: peer.Digest(), Sum: test.sum}
			if got := d.Accept(offer); got != test.want {
				t.Errorf("accepted: %t, want %t", got, test.want)
			}
		})
	}
}
