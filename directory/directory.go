package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/store"
)

// Sources of what is in force, as they appear in logs.
const (
	fromStore = "store"
	fromPeer  = "peer"
)

// Options are what a directory needs to know and to use.
type Options struct {
	Rows    store.Rows
	Decoder Decoder
	Clock   clock.Service
	Logger  *event.Logger
	// Regions returns the region of each failure domain.
	Regions func() map[string]string
	// Polls reports whether this instance reads the endpoints' table for its failure domain.
	Polls func() bool
	// Apply is called, by one goroutine at a time, with each catalog that comes into force and with which endpoint of a
	// database is registered as primary.
	Apply func(catalog *config.Catalog, claims map[string]string)
}

// Directory keeps the configuration and the endpoints in force.
type Directory struct {
	options Options
	catalog atomic.Pointer[config.Catalog]
	running sync.WaitGroup
	done    chan struct{}

	mu       sync.Mutex
	declared Configuration
	// configuration is the operator's row in force.
	configuration store.Row
	sheet         Snapshot
	listed        bool
	// since is when the endpoints became known.
	since time.Time
	lost  map[string]time.Time
}

// New returns a directory that ends with ctx.
func New(ctx context.Context, o Options) *Directory {
	d := &Directory{options: o, done: make(chan struct{}), lost: make(map[string]time.Time)}
	d.running.Go(func() { d.follow(ctx) })
	d.running.Go(func() { d.poll(ctx) })
	go func() {
		defer close(d.done)
		d.running.Wait()
	}()
	return d
}

// Done is closed when the directory's goroutines have ended.
func (d *Directory) Done() <-chan struct{} { return d.done }

// Catalog returns what is in force, nil until there is a configuration and the endpoints are known.
func (d *Directory) Catalog() *config.Catalog { return d.catalog.Load() }

// Refresh reads the endpoints anew, if the store answers at once, and reports whether they are known for long enough
// that none is left out whose entry lapsed for a moment.
func (d *Directory) Refresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	d.report(endpointReads, d.readEndpoints(ctx))
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed && d.options.Clock.Now().Sub(d.since) >= missingPause
}

// takeConfiguration brings the operator's row into force unless a later one is.
func (d *Directory) takeConfiguration(row store.Row, from string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if row.Version <= d.configuration.Version {
		return
	}
	declared, err := d.options.Decoder.Configuration(row.Value)
	if err != nil {
		d.options.Logger.Log(event.RevisionFailed, log.Fields{"version": row.Version, "from": from, "error": err.Error()})
		return
	}
	if declared.Version <= d.declared.Version {
		return
	}
	d.configuration, d.declared = row, declared
	d.options.Logger.Log(event.ConfigurationRead, log.Fields{
		"version": declared.Version, "row": row.Version, "from": from, "routes": len(declared.Set.Routes),
	})
	d.apply()
}

// takeEndpoints brings the endpoints into force that were read at a version of the store.
func (d *Directory) takeEndpoints(rows []store.Row, version uint64, from string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version <= d.sheet.Version() && d.listed {
		return
	}
	unreadable := func(name string, err error) {
		d.options.Logger.Log(event.EntryUnreadable, log.Fields{"endpoint": name, "error": err.Error()})
	}
	next, diff := d.sheet.With(rows, version, d.options.Decoder, d.options.Clock.Now(), unreadable)
	if from == fromPeer {
		// The same endpoints under a later version are as new as the peer's, and need not be fetched again.
		next.version = version
	}
	d.replace(next, diff, from, !d.listed)
}

func (d *Directory) sweep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	next, diff := d.sheet.Expire(d.options.Clock.Now())
	d.replace(next, diff, "time", false)
}

func (d *Directory) replace(next Snapshot, diff Difference, from string, first bool) {
	d.sheet = next
	if diff.Empty() && !first {
		return
	}
	if first {
		d.since = d.options.Clock.Now()
	}
	d.listed = true
	for _, name := range diff.Missing {
		d.options.Logger.Log(event.EndpointMissing, log.Fields{"endpoint": name, "from": from, "version": next.Version()})
	}
	for _, name := range diff.Removed {
		d.options.Logger.Log(event.EndpointGone, log.Fields{"endpoint": name, "from": from, "version": next.Version()})
	}
	d.options.Logger.Log(event.EndpointsChanged, log.Fields{
		"version": next.Version(), "from": from, "changed": len(diff.Changed), "endpoints": len(next.entries),
	})
	d.apply()
}

// apply builds the catalog from the configuration and the endpoints and hands it on.
func (d *Directory) apply() {
	if d.declared.Version == 0 || !d.listed {
		return
	}
	set := d.declared.Set
	endpoints, claims := d.sheet.endpoints(d.options.Regions())
	set.Endpoints = endpoints
	catalog := config.NewCatalog(set).WithIdle(d.declared.IdleTimeout)
	d.catalog.Store(catalog)
	d.options.Apply(catalog, claims)
}

// Reapply hands on what is in force once more, because what depends on it changed.
func (d *Directory) Reapply() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply()
}
