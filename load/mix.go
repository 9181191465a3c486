package load

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"
)

// Operation is one kind of work.
type Operation string

const (
	// Write adds a value that only this session writes.
	Write Operation = "write"
	// Transfer adds two values in one transaction.
	Transfer Operation = "transfer"
	// Own reads what the session has written and must see all of it.
	OwnRead Operation = "own"
	// History reads with the history route's allowance.
	HistoryRead Operation = "history"
)

// share is an operation's part of a mix, in per cent.
type share struct {
	operation Operation
	name      string
	part      int
}

// Mix is what a user's callers do, in shares that add up to 100.
type Mix struct {
	Name   string
	shares []share
}

// Kelloviisari signs off measurements, fetches certificates and is audited.
var Kelloviisari = Mix{Name: "kelloviisari", shares: []share{
	{Write, "sign-off", 15}, {OwnRead, "own certificate", 15}, {HistoryRead, "certificate fetch", 50}, {HistoryRead, "audit", 20},
}}

// Pwani tags pots, records transfers, reads histories and renews licences.
var Pwani = Mix{Name: "pwani", shares: []share{
	{Write, "tag", 6}, {Transfer, "transfer", 5}, {Write, "renewal", 4}, {OwnRead, "own record", 10}, {HistoryRead, "history", 75},
}}

// ParseMix returns the mix called name.
func ParseMix(name string) (Mix, error) {
	for _, m := range []Mix{Kelloviisari, Pwani} {
		if m.Name == name {
			return m, nil
		}
	}
	return Mix{}, errors.Newf("no mix is called %q", name)
}

const percent = 100

// pick draws an operation.
func (m Mix) pick(random *rand.Rand) share {
	n := random.IntN(percent)
	for _, s := range m.shares {
		if n < s.part {
			return s
		}
		n -= s.part
	}
	return m.shares[len(m.shares)-1]
}
