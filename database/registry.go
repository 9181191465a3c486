package database

import (
	"slices"
	"strings"
	"sync"
	"time"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/connection"
	"siskincove/event"
)

// Options are what databases need to know and to use.
type Options struct {
	Dialer connection.Dialer
	Clock  clock.Service
	Logger *event.Logger
	// Lending tells who has connections where not every instance can; nil if all have.
	Lending Lending
	// Detour, if set, leads to an endpoint by way of another instance.
	Detour connection.Detour
	// Drain returns how long after its notice a leaving endpoint may get new work.
	Drain func() time.Duration
}

// Lending tells which instances hold an endpoint's connections where there are too few for every instance.
type Lending interface {
	// Holds reports whether this instance is one of a number of holders.
	Holds(e config.Endpoint, holders int) bool
	// Dialer returns what borrows from the holders.
	Dialer() connection.Dialer
}

// noticeDelay is how much later than the store this instance may learn that an endpoint leaves: a reading of the table, a
// heartbeat that relays it, and a slow call.
const noticeDelay = 2500 * time.Millisecond

const (
	// connectionShare is the part of an endpoint's connections that instances divide among them; the rest is left for
	// coordinators and for instances that do not know of each other yet. connectionReserve is the least rest: one for each
	// of a database's coordinators, and one.
	connectionShare   = 0.85
	connectionReserve = 4
	// ownLeast is the least share with which an instance has connections of its own: one is for a transaction, one for what
	// goes on beside it.
	ownLeast = 2
	// holderConnections is about how many connections each holder has where instances have none of their own: more than
	// an endpoint has slots, so that none of these is ever free for want of a connection.
	holderConnections = 8
	// slotShare is for how many instances a slot is enough: as many statements are under way at an endpoint if each instance
	// sends it one, and an endpoint lets about eight wait for a slot.
	slotShare = 8
	// holdersASlot is how many holders a slot is shared by at most, for the same reason.
	holdersASlot = 2
	// holdersLeast is how many holders there are if the endpoint takes so many connections: one may be away.
	holdersLeast = 2
	// borrowedMaximum is how many connections an instance borrows at most; they wait for each other at the holder.
	borrowedMaximum = 24
	// connectionsUnknown is what an instance uses until it knows how many there are.
	connectionsUnknown = 2
)

// Registry holds the databases in force.
type Registry struct {
	options Options

	mu        sync.Mutex
	databases map[string]*Database
}

// NewRegistry returns a registry without databases.
func NewRegistry(o Options) *Registry {
	return &Registry{options: o, databases: make(map[string]*Database)}
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

// Configure brings a catalog into force for a number of instances, 0 while that is not known; claims tell which endpoint of a database is
// registered as primary.
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
			r.databases[declared.Name] = newDatabase(declared.Name, r.options)
		}
	}
	r.mu.Unlock()
	for _, d := range r.All() {
		declared, _ := catalog.Database(d.name)
		d.configure(catalog.Members(d.name), claims[d.name], func(e config.Endpoint) Share {
			return Divide(declared.Connections, e.Slots, instances)
		})
	}
}

// Share is how the connections that an endpoint takes are divided.
type Share struct {
	// Holders is how many instances hold connections and lend them to the others, 0 if every instance has its own.
	Holders int
	// Limit is how many connections an instance that holds some has.
	Limit int
}

// Divide divides an endpoint's connections among a number of instances, 0 while that is not known. An endpoint whose slots
// are not known has 0.
func Divide(connections, slots, instances int) Share {
	if instances == 0 {
		return Share{Limit: connectionsUnknown}
	}
	total := max(min(int(connectionShare*float64(connections)), connections-connectionReserve), 1)
	crowded := slots > 0 && instances > slotShare*slots
	if own := total / instances; own >= ownLeast && !crowded || instances <= holdersLeast {
		return Share{Limit: max(own, 1)}
	}
	holders := max(total/holderConnections, min(holdersLeast, total))
	if slots > 0 {
		holders = min(holders, max(holdersASlot*slots, holdersLeast))
	}
	return Share{Holders: holders, Limit: total / holders}
}
