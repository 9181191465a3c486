package hosted

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskincove/config"
	"siskincove/connection"
	"siskincove/database"
	"siskincove/loan"
	"siskincove/member"
	"siskincove/peer/wire"
)

// lending implements database.Lending: if an endpoint has too few connections or slots for all instances, or its connections
// belong to workspaces, some instances, the holders, connect to it, and the others, the borrowers, use the holders' connections. The
// holders are instances in the endpoint's failure domain if there are any.
type lending struct{ instance *Instance }

// Holds reports whether this instance is one of the holders of the endpoint's connections.
func (l lending) Holds(e config.Endpoint, share database.Share) bool {
	own := l.instance.options.Settings.Instance.ID
	return slices.ContainsFunc(l.sharing(e, share), func(holder member.Instance) bool { return holder.ID == own })
}

// sharing returns the holders of the endpoint's connections for a division of them.
func (l lending) sharing(e config.Endpoint, share database.Share) []member.Instance {
	if share.ByWorkspace {
		return l.rankedWorkspaceHolders(e, share.Holders)
	}
	return l.rankedHolders(e, share.Holders)
}

// rankedHolders returns holderCount holders of the endpoint's connections, or fewer if there are fewer instances near the endpoint.
// Instances with the same view of the others get the same holders.
func (l lending) rankedHolders(e config.Endpoint, holderCount int) []member.Instance {
	return l.instance.members.HighestRanked("holder/"+e.Name, e.Domain, holderCount)
}

// minWorkspaceHolders is the least number of holders for connections that belong to workspaces, since nobody connects beside
// them.
const minWorkspaceHolders = 2

// rankedWorkspaceHolders is rankedHolders for connections that belong to workspaces: if the endpoint's failure domain has too few
// instances, others of its region or of other regions are holders too.
func (l lending) rankedWorkspaceHolders(e config.Endpoint, holderCount int) []member.Instance {
	out := l.rankedHolders(e, holderCount)
	least := min(minWorkspaceHolders, holderCount)
	for _, domain := range []string{config.Region(e.Domain) + "/", ""} {
		if len(out) >= least {
			break
		}
		for _, candidate := range l.instance.members.HighestRanked("holder/"+e.Name, domain, holderCount) {
			if len(out) < least && !slices.ContainsFunc(out, func(i member.Instance) bool { return i.ID == candidate.ID }) {
				out = append(out, candidate)
			}
		}
	}
	return out
}

// HolderCount returns how many instances can hold an endpoint's connections that belong to workspaces, at most as many as asked for.
func (l lending) HolderCount(e config.Endpoint, most int) int {
	return len(l.rankedWorkspaceHolders(e, most))
}

// Dialer returns a dialer that borrows connections from the holders.
func (l lending) Dialer() connection.Dialer {
	d := l.WorkspaceDialer().(loan.Dialer)
	d.Holders, d.Direct, d.Spread = l.holdersToAsk, l.instance.options.Dialer, nil
	return d
}

// WorkspaceDialer returns a dialer that borrows connections from the holders of a workspace's connections.
func (l lending) WorkspaceDialer() connection.Dialer {
	i := l.instance
	return loan.Dialer{
		Context: i.ctx, Self: i.options.Settings.Instance.ID, Clock: i.options.Clock, Logger: i.options.Logger, Peers: i.node, Holders: l.workspaceHolders, Health: i.holderHealth,
		OnUnreachable: i.members.ProbeSoon, OnSilence: i.probeHolders, Spread: i.spread,
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
func (l lending) holdersToAsk(target connection.Target) []member.Instance {
	return rotated(l.holders(target.Endpoint), func(n int) int { return int(xxhash.Sum64String(l.instance.options.Settings.Instance.ID) % uint64(n)) })
}

// workspaceHolders returns the holders to ask for a connection of a workspace. The order depends on the workspace only, so that
// its statements meet at one holder and each holder serves some of the workspaces.
func (l lending) workspaceHolders(target connection.Target) []member.Instance {
	return member.Rank(target.Workspace+"/"+target.Endpoint.Name, l.holders(target.Endpoint))
}

// holders returns the holders of an endpoint's connections.
func (l lending) holders(e config.Endpoint) []member.Instance {
	i := l.instance
	catalog := i.directory.Catalog()
	if catalog == nil {
		return nil
	}
	databaseConfig, ok := catalog.Database(e.Database)
	if !ok {
		return nil
	}
	return l.sharing(e, database.ShareOf(catalog, databaseConfig.Connections, e, i.instanceCount(), func(most int) int {
		return l.HolderCount(e, most)
	}))
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
	pool, ok := d.Held(request.GetEndpoint())
	if !ok || !d.AcceptsWork(request.GetEndpoint()) || pool.Endpoint().Incarnation != request.GetIncarnation() {
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
