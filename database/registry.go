package database

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/connection"
	"siskincove/event"
)

// Options are the dependencies of the databases.
type Options struct {
	// Context bounds the attempts to connect to endpoints in the background; nil means no bound.
	Context context.Context
	Dialer  connection.Dialer
	Clock   clock.Service
	Logger  *event.Logger
	// Lending tells which instances hold connections to endpoints that have too few connections or slots for all instances;
	// nil if every instance has its own connections.
	Lending Lending
	// Detour, if set, reaches an endpoint through another instance.
	Detour connection.Detour
	// DrainTime returns for how long after its notice of leaving an endpoint may get new work.
	DrainTime func() time.Duration
}

// Lending tells which instances are an endpoint's holders: the ones that connect to it and lend their connections to the
// other instances. An endpoint has holders if it has too few connections or slots for all instances.
type Lending interface {
	// HolderCount returns how many instances can hold an endpoint's connections that belong to workspaces, at most as many as asked for.
	HolderCount(e config.Endpoint, most int) int
	// Holds reports whether this instance is one of the holders for a share.
	Holds(e config.Endpoint, share Share) bool
	// Dialer returns a dialer that borrows connections from the holders.
	Dialer() connection.Dialer
	// WorkspaceDialer returns a dialer that borrows connections from the holders of a workspace's connections, which may
	// include this instance. It does not connect to an endpoint itself.
	WorkspaceDialer() connection.Dialer
}

// maxNoticeDelay is how long after an endpoint's notice of leaving reached the store this instance may learn of it: one
// interval between reads of the table, one heartbeat that relays it, and a slow call.
const maxNoticeDelay = 2500 * time.Millisecond

const (
	// connectionShare is the share of an endpoint's connections that the instances divide. The rest is reserved for
	// coordinators and for instances that do not know of each other yet. minConnectionReserve is the least reserve: one
	// connection for each of a database's coordinators, and one more.
	connectionShare      = 0.85
	minConnectionReserve = 4
	// minOwnConnections is the least number of connections per instance with which every instance has its own: one for a
	// transaction, and one for other work.
	minOwnConnections = 2
	// connectionsPerHolder is the approximate number of connections of each holder. It is above an endpoint's number of
	// slots, so that no slot stays free for lack of a connection.
	connectionsPerHolder = 8
	// connectionsPerWorkspaceHolder is the same where each connection belongs to a workspace: enough that the workspaces with
	// much load keep theirs beside those that come and go.
	connectionsPerWorkspaceHolder = 18
	// maxInstancesPerSlot is how many instances per slot may connect to an endpoint. If each of them sends one statement,
	// that many statements per slot are in flight, and an endpoint lets about eight wait for a slot.
	maxInstancesPerSlot = 8
	// maxHoldersPerSlot bounds the holders per slot, for the same reason.
	maxHoldersPerSlot = 2
	// inFlightPerSlot is how many statements per slot all holders together may have in flight: enough to keep the slots busy.
	// Further ones wait at the holders, which order them by class and deadline, as an endpoint does not.
	inFlightPerSlot = 3
	// minHolders is the least number of holders, if the endpoint takes that many connections, so that one may be
	// absent.
	minHolders = 2
	// maxBorrowed bounds the connections that an instance borrows for an endpoint. They need not have a connection of the
	// holder each: their statements wait for one in the holder's queue.
	maxBorrowed = 24
	// provisionalConnections is the limit of connections per endpoint until the number of instances is known.
	provisionalConnections = 2
)

// Registry holds the databases of the configuration in force.
type Registry struct {
	options   Options
	promoting *promotionIndex

	mu        sync.Mutex
	databases map[string]*Database
}

// NewRegistry returns a registry without databases.
func NewRegistry(o Options) *Registry {
	return &Registry{options: o, databases: make(map[string]*Database), promoting: newPromotionIndex()}
}

// Get returns a database by name.
func (r *Registry) Get(name string) (*Database, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.databases[name]
	return d, ok
}

// All returns the databases, ordered by name.
func (r *Registry) All() []*Database {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*Database, 0, len(r.databases))
	for _, d := range r.databases {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b *Database) int { return strings.Compare(a.name, b.name) })
	return out
}

// Configure applies a catalog for a number of instances, 0 while that is unknown. claims maps each database to the
// endpoint registered as its primary.
func (r *Registry) Configure(catalog *config.Catalog, claims map[string]string, instances int) {
	r.mu.Lock()
	for name, d := range r.databases {
		if _, ok := catalog.Database(name); !ok {
			d.close()
			delete(r.databases, name)
		}
	}
	for _, declared := range catalog.Set.Databases {
		if _, ok := r.databases[declared.Name]; !ok {
			d := newDatabase(declared.Name, r.options)
			d.promoting = r.promoting
			r.databases[declared.Name] = d
		}
	}
	r.mu.Unlock()
	for _, d := range r.All() {
		declared, _ := catalog.Database(d.name)
		d.configure(catalog.Members(d.name), claims[d.name], func(e config.Endpoint) Share {
			return ShareOf(catalog, declared.Connections, e, instances, func(most int) int { return r.holderCount(e, instances, most) })
		})
	}
}

// holderCount returns how many instances can be holders of an endpoint's connections, at most as many as asked for.
func (r *Registry) holderCount(e config.Endpoint, instances, most int) int {
	if r.options.Lending == nil {
		return min(instances, most)
	}
	return r.options.Lending.HolderCount(e, most)
}

// Share is the division of an endpoint's connections among instances.
type Share struct {
	// Holders is the number of instances that hold connections and lend them to the others, 0 if every instance holds
	// its own.
	Holders int
	// Limit is the number of connections of an instance that holds any.
	Limit int
	// InFlight bounds the statements that such an instance has in flight at the endpoint, 0 for no bound but Limit.
	InFlight int
	// ByWorkspace is set if each connection belongs to a workspace, so that holders borrow too.
	ByWorkspace bool
}

// ShareOf returns the division of an endpoint's connections among a number of instances, 0 while that is unknown. holderCount returns how
// many instances can be its holders, at most as many as asked for.
func ShareOf(catalog *config.Catalog, connections int, e config.Endpoint, instances int, holderCount func(most int) int) Share {
	if catalog.HasWorkspaces() {
		return DivideByWorkspace(connections, e.Slots, instances, holderCount)
	}
	return Divide(connections, e.Slots, instances)
}

// Divide divides an endpoint's connections among a number of instances, 0 while that is unknown. slots is 0 if the
// endpoint's number of slots is unknown.
func Divide(connections, slots, instances int) Share {
	if instances == 0 {
		return Share{Limit: provisionalConnections}
	}
	total := max(min(int(connectionShare*float64(connections)), connections-minConnectionReserve), 1)
	crowded := slots > 0 && instances > maxInstancesPerSlot*slots
	if own := total / instances; own >= minOwnConnections && !crowded || instances <= minHolders {
		return Share{Limit: max(own, 1)}
	}
	holders := max(total/connectionsPerHolder, min(minHolders, total))
	if slots > 0 {
		holders = min(holders, max(maxHoldersPerSlot*slots, minHolders))
	}
	share := Share{Holders: holders, Limit: total / holders}
	if slots > 0 {
		share.InFlight = (inFlightPerSlot*slots + holders - 1) / holders
	}
	return share
}

// DivideByWorkspace divides an endpoint's connections among holders where each connection belongs to a workspace. There are few
// holders, so that a workspace's statements find its connections. The endpoint may count those of a holder that lost power for
// some seconds more, while those of its successor are opened. holderCount returns how many instances can be holders, at most as many as
// asked for.
func DivideByWorkspace(connections, slots, instances int, holderCount func(most int) int) Share {
	share := Divide(connections, slots, instances)
	share.ByWorkspace = true
	if instances <= minHolders {
		return share
	}
	usable := max(connections-minConnectionReserve, 1)
	holders := max(usable/connectionsPerWorkspaceHolder-1, min(minHolders, usable))
	if slots > 0 {
		holders = min(holders, max(maxHoldersPerSlot*slots, minHolders))
	}
	holders = max(holderCount(holders), 1)
	share.Holders, share.Limit, share.InFlight = holders, max(usable/(holders+1), 1), 0
	if slots > 0 {
		share.InFlight = (inFlightPerSlot*slots + holders - 1) / holders
	}
	return share
}
