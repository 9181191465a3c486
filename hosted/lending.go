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

// lending implements database.Lending: if an endpoint has too few connections or slots for all instances, some instances,
// the holders, connect to it, and the others, the borrowers, use the holders' connections. The holders are instances in
// the endpoint's failure domain if there are any.
type lending struct{ instance *Instance }

// Holds reports whether this instance is one of the holderCount holders of the endpoint's connections.
func (l lending) Holds(e config.Endpoint, holderCount int) bool {
	own := l.instance.options.Settings.Instance.ID
	for _, holder := range l.rankedHolders(e, holderCount) {
		if holder.ID == own {
			return true
		}
	}
	return false
}

// rankedHolders returns holderCount holders of the endpoint's connections, or fewer if there are fewer instances. Instances
// with the same view of the others get the same holders.
func (l lending) rankedHolders(e config.Endpoint, holderCount int) []member.Instance {
	return l.instance.members.HighestRanked("holder/"+e.Name, e.Domain, holderCount)
}

// Dialer returns a dialer that borrows connections from the holders.
func (l lending) Dialer() connection.Dialer {
	i := l.instance
	return loan.Dialer{
		Context: i.ctx, Self: i.options.Settings.Instance.ID, Clock: i.options.Clock, Logger: i.options.Logger, Peers: i.node, Holders: l.holdersToAsk, Health: i.holderHealth,
		Direct: i.options.Dialer, OnUnreachable: i.members.ProbeSoon, OnSilence: i.probeHolders,
	}
}

// probeHolders requests heartbeats to all holders in use. After a partition many of them are silent at once; a statement to
// each would take longer to find that out.
func (i *Instance) probeHolders() {
	for _, address := range i.holderHealth.Holders() {
		i.members.ProbeSoon(address)
	}
}

// holdersToAsk returns the holders to ask for a connection. The first one depends on this instance's id, which spreads
// the borrowers over the holders.
func (l lending) holdersToAsk(e config.Endpoint) []member.Instance {
	i := l.instance
	catalog := i.directory.Catalog()
	if catalog == nil {
		return nil
	}
	databaseConfig, ok := catalog.Database(e.Database)
	if !ok {
		return nil
	}
	all := l.rankedHolders(e, database.Divide(databaseConfig.Connections, e.Slots, i.instanceCount()).Holders)
	return rotated(all, func(n int) int { return int(xxhash.Sum64String(i.options.Settings.Instance.ID) % uint64(n)) })
}

func (i *Instance) newLender() *loan.Lender {
	return loan.NewLender(loan.Options{Clock: i.options.Clock, Logger: i.options.Logger, Pool: i.lentPool, IdleTimeout: i.idleTimeout})
}

// lentPool returns the pool from which a borrower requests a connection. It returns false if this instance has no connections
// of its own to that incarnation of the endpoint, or if the endpoint accepts no new work.
func (i *Instance) lentPool(request *wire.Loan) (*connection.Pool, bool) {
	d, ok := i.databases.Get(request.GetDatabase())
	if !ok {
		return nil, false
	}
	pool, ok := d.Pool(request.GetEndpoint())
	if !ok || !d.AcceptsWork(request.GetEndpoint()) || pool.Borrows() || pool.Endpoint().Incarnation != request.GetIncarnation() {
		return nil, false
	}
	return pool, true
}

// idleTimeout returns how long a transaction may stay idle; 0 means no limit.
func (i *Instance) idleTimeout() time.Duration {
	catalog := i.directory.Catalog()
	if catalog == nil {
		return 0
	}
	return catalog.IdleTimeout()
}
