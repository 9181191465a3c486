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
	// Detour, if set, leads to an endpoint by way of another instance.
	Detour connection.Detour
	// Drain returns how long after its notice a leaving endpoint may get new work.
	Drain func() time.Duration
}

// noticeDelay is how much later than the store this instance may learn that an endpoint leaves: a reading of the table, a
// heartbeat that relays it, and a slow call.
const noticeDelay = 2500 * time.Millisecond

const (
	// connectionShare is the part of an endpoint's connections that instances divide among them; the rest is left for
	// coordinators and for instances that do not know of each other yet.
	connectionShare = 0.85
	// connectionMinimum is what an instance uses whatever its share.
	connectionMinimum = 1
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
		d.configure(catalog.Members(d.name), claims[d.name], share(declared.Connections, instances))
	}
}

// share returns how many connections one of a number of instances may have to an endpoint.
func share(connections, instances int) int {
	if instances == 0 {
		return connectionsUnknown
	}
	return max(int(connectionShare*float64(connections))/instances, connectionMinimum)
}
