package load

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"
)

// Operation is a step of a session: a write, a transfer or a read.
type Operation string

const (
	// Write inserts a value under a key that only this session writes.
	Write Operation = "write"
	// Transfer inserts two values in one transaction.
	Transfer Operation = "transfer"
	// OwnRead reads the key that the session currently writes and must see every acknowledged write.
	OwnRead Operation = "own"
	// HistoryRead reads over the history route, whose allowance accepts stale data.
	HistoryRead Operation = "history"
)

// mixEntry is an operation of a mix; weight is its share in per cent.
type mixEntry struct {
	operation Operation
	name      string
	weight    int
}

// Mix is the mix of operations of a user's callers. The weights add up to 100.
type Mix struct {
	Name    string
	entries []mixEntry
}

// Kelloviisari is the mix of the certificate issuer: signing off measurements, fetching certificates and audits.
var Kelloviisari = Mix{Name: "kelloviisari", entries: []mixEntry{
	{Write, "sign-off", 15}, {OwnRead, "own certificate", 15}, {HistoryRead, "certificate fetch", 50}, {HistoryRead, "audit", 20},
}}

// Pwani is the mix of the gear registry: tagging pots, transfers, reading histories and licence renewals.
var Pwani = Mix{Name: "pwani", entries: []mixEntry{
	{Write, "tag", 6}, {Transfer, "transfer", 5}, {Write, "renewal", 4}, {OwnRead, "own record", 10}, {HistoryRead, "history", 75},
}}

// ParseMix returns the mix with the given name.
func ParseMix(name string) (Mix, error) {
	for _, m := range []Mix{Kelloviisari, Pwani} {
		if m.Name == name {
			return m, nil
		}
	}
	return Mix{}, errors.Newf("unknown mix %q", name)
}

const percent = 100

// pick draws a random operation by weight.
func (m Mix) pick(random *rand.Rand) mixEntry {
	n := random.IntN(percent)
	for _, entry := range m.entries {
		if n < entry.weight {
			return entry
		}
		n -= entry.weight
	}
	return m.entries[len(m.entries)-1]
}
