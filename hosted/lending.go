package hosted

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"siskincove/config"
	"siskincove/connection"
	"siskincove/database"
	"siskincove/loan"
	"siskincove/member"
	"siskincove/peer/wire"
)

// holdersAsked is how many holders are tried for one connection: an instance that reaches none of them is cut off from
// the endpoint's failure domain, or nearly so.
const holdersAsked = 2

// lending says which instances hold connections; holders are in the endpoint's failure domain, if there are any there.
type lending struct{ instance *Instance }

// Holds reports whether this instance is one of a number of holders.
func (l lending) Holds(e config.Endpoint, holders int) bool {
	own := l.instance.options.Settings.Instance.ID
	for _, holder := range l.among(e, holders) {
		if holder.ID == own {
			return true
		}
	}
	return false
}

func (l lending) among(e config.Endpoint, holders int) []member.Instance {
	return l.instance.members.Near("holder/"+e.Name, e.Domain, holders)
}

// Dialer returns what borrows from the holders.
func (l lending) Dialer() connection.Dialer {
	i := l.instance
	return loan.Dialer{
		Context: i.ctx, Clock: i.options.Clock, Logger: i.options.Logger, Peers: i.node, Holders: l.holders,
		Direct: i.options.Dialer, Unreachable: i.members.ProbeSoon,
	}
}

// holders returns the holders to be asked, in an order of this instance's own, so that all share the work.
func (l lending) holders(e config.Endpoint) []member.Instance {
	i := l.instance
	declared, ok := i.directory.Catalog().Database(e.Database)
	if !ok {
		return nil
	}
	all := l.among(e, database.Divide(declared.Connections, e.Slots, i.census()).Holders)
	if len(all) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(i.options.Settings.Instance.ID) % uint64(len(all)))
	rotated := append(append([]member.Instance{}, all[first:]...), all[:first]...)
	return rotated[:min(len(rotated), holdersAsked)]
}

func (i *Instance) newLender() *loan.Lender {
	return loan.NewLender(loan.Options{Clock: i.options.Clock, Logger: i.options.Logger, Pool: i.lent, IdleTimeout: i.idle})
}

// lent returns the pool that a borrower asks for, and false unless this instance holds its connections.
func (i *Instance) lent(asked *wire.Loan) (*connection.Pool, bool) {
	d, ok := i.databases.Get(asked.GetDatabase())
	if !ok {
		return nil, false
	}
	pool, ok := d.Pool(asked.GetEndpoint())
	if !ok || !d.AcceptsWork(asked.GetEndpoint()) || pool.Borrows() || pool.Endpoint().Incarnation != asked.GetIncarnation() {
		return nil, false
	}
	return pool, true
}

// idle returns how long a transaction may stay idle, 0 for no bound.
func (i *Instance) idle() time.Duration {
	catalog := i.directory.Catalog()
	if catalog == nil {
		return 0
	}
	return catalog.IdleTimeout()
}
