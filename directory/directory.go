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
	"siskincove/transfer"
)

// Sources of configurations and endpoints, as they appear in logs.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// maxRefusalsLogged bounds the malformed objects of one configuration that are logged.
const maxRefusalsLogged = 20

// Options configure a Directory.
type Options struct {
	Rows    store.Rows
	Decoder Decoder
	Clock   clock.Service
	Logger  *event.Logger
	// Regions returns the region of each failure domain.
	Regions func() map[string]string
	// ShouldFollow reports whether this instance follows the changes of the configuration on behalf of its failure domain.
	ShouldFollow func() bool
	// Bootstrap, if set, is called once before the store is read for the first time, so that a peer can supply what it has.
	Bootstrap func(ctx context.Context)
	// OnChange is called after a newer configuration or other endpoints were applied. It must not block or use the directory.
	OnChange func()
	// OnConfirmed, if set, is called when the store has answered that no configuration was newer than one of the operator's
	// versions, with that version, the time at which the question was sent, and the era of the store.
	OnConfirmed func(version uint64, sent time.Time, era uint64)
	// Confirms, if set, reports whether the deployment calls Confirm so often that it notices changes although polls are lost.
	Confirms func() bool
	// ShouldPoll reports whether this instance polls the endpoint table on behalf of its failure domain.
	ShouldPoll func() bool
	// Apply is called with each new catalog and with the name of the endpoint that is registered as primary of each
	// database. Calls do not overlap.
	Apply func(catalog *config.Catalog, primaries map[string]string)
}

// Directory holds the current configuration and endpoints and keeps them up to date.
type Directory struct {
	options Options
	catalog atomic.Pointer[config.Catalog]
	// inForce is the operator's version of catalog. It is stored after catalog.
	inForce atomic.Uint64
	// versions are sent to peers. They are stored before inForce, so that none is older than a proof that holds for inForce.
	versions atomic.Pointer[Versions]
	// arriving is the operator's version of the configuration that was last applied or is being applied.
	arriving   atomic.Uint64
	goroutines sync.WaitGroup
	done       chan struct{}

	// confirmMu is held by Confirm; feedMu protects feed, the latest position up to which the store has answered.
	confirmMu sync.Mutex
	feedMu    sync.Mutex
	feed      feed

	mu            sync.Mutex
	configuration Configuration
	// indexed is the catalog of configuration, without endpoints.
	indexed *config.Catalog
	// configurationRow is the row from which configuration was decoded.
	configurationRow store.Row
	// document holds the pieces of configurationRow if that is large.
	document transfer.Document
	// snapshot holds the registered endpoints. endpointsLoaded is set once it has been read from the store or taken from a
	// peer, for the first time at endpointsLoadedAt.
	snapshot          Snapshot
	endpointsLoaded   bool
	endpointsLoadedAt time.Time
	// endpointsReadAt is when the latest read of the endpoints that the store answered was sent, zero if there was none.
	endpointsReadAt time.Time
	// primaries maps each database of the current catalog to the endpoint that is registered as its primary.
	primaries map[string]string
	// unavailableSince is since when the store does not answer, and contacts when it last did, by kind of read.
	unavailableSince map[string]time.Time
	contacts         map[string]contact
	// refusals bounds the lines about entries that can't be used.
	refusals refusals
}

// New starts a directory, which stops when ctx ends.
func New(ctx context.Context, o Options) *Directory {
	d := &Directory{options: o, done: make(chan struct{}), unavailableSince: make(map[string]time.Time), contacts: make(map[string]contact)}
	d.goroutines.Go(func() {
		if o.Bootstrap != nil {
			o.Bootstrap(ctx)
		}
		d.goroutines.Go(func() { d.followConfiguration(ctx) })
		d.goroutines.Go(func() { d.pollEndpoints(ctx) })
	})
	go func() {
		defer close(d.done)
		d.goroutines.Wait()
	}()
	return d
}

// Done returns a channel that is closed when the directory's goroutines have ended.
func (d *Directory) Done() <-chan struct{} { return d.done }

// Catalog returns the current catalog, or nil until both a configuration and the endpoints are known.
func (d *Directory) Catalog() *config.Catalog { return d.catalog.Load() }

// InForce returns the version that the operator gave the configuration of the current catalog, 0 for none. A later call of Catalog
// returns the catalog of this version or of a later one.
func (d *Directory) InForce() uint64 { return d.inForce.Load() }

// ConfigurationVersion returns the version that the operator gave the current configuration, 0 for none.
func (d *Directory) ConfigurationVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configuration.Version
}

// Refresh reads the endpoints again, for at most a timeout, and returns how current they are.
func (d *Directory) Refresh(ctx context.Context, timeout time.Duration) Reading {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := d.readEndpoints(ctx)
	d.logAvailability(endpointReads, err)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Now()
	return Reading{
		Settled: d.endpointsLoaded && now.Sub(d.endpointsLoadedAt) >= missingGrace, Err: err, ReadAt: d.endpointsReadAt,
	}
}

// updateConfiguration applies the configuration row unless the current configuration has the same or a later version. The
// versions of rows do not count, since the store may be restored from a copy with an older row. It returns the operator's version
// of the row, 0 if it can't be decoded.
func (d *Directory) updateConfiguration(row store.Row, source string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	configuration, err := d.options.Decoder.Configuration(row.Value)
	if err != nil {
		d.options.Logger.Log(event.RevisionReadFailed, log.Fields{"version": row.Version, "from": source, "error": err.Error()})
		return 0
	}
	if configuration.Version <= d.configuration.Version {
		return configuration.Version
	}
	d.arriving.Store(configuration.Version)
	if configuration.Relayed != nil {
		row.Value = configuration.Relayed
	}
	for _, cause := range configuration.Refused[:min(len(configuration.Refused), maxRefusalsLogged)] {
		d.options.Logger.Log(event.WorkspaceRefused, log.Fields{"version": configuration.Version, "cause": cause})
	}
	configuration.Relayed, configuration.Refused = nil, nil
	d.configurationRow, d.configuration, d.document = row, configuration, transfer.NewLargeDocument(row.Value)
	d.indexed = config.NewCatalog(configuration.Set).WithIdleTimeout(configuration.IdleTimeout).WithKeysRequired(configuration.KeysRequired)
	d.options.Logger.Log(event.ConfigurationApplied, log.Fields{
		"version": configuration.Version, "row": row.Version, "from": source, "routes": len(configuration.Set.Routes), "workspaces": len(configuration.Set.Workspaces),
	})
	d.apply()
	d.publish()
	return configuration.Version
}

// updateEndpoints applies the endpoint rows that were read at a version of the store, unless those of the same or a later
// version are known.
func (d *Directory) updateEndpoints(rows []store.Row, version store.Version, source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version <= d.snapshot.Version() && d.endpointsLoaded {
		return
	}
	now := d.options.Clock.Now()
	unreadable := func(name string, err error) { d.refusals.log(d.options.Logger, name, err, now) }
	next, diff := d.snapshot.With(rows, version, d.options.Decoder, now, unreadable)
	refusedEntries.Set(float64(next.Refused()))
	if source == sourcePeer {
		// Take over the peer's version even if the endpoints are the same, so that they are not fetched again.
		next.version = version
	}
	d.setSnapshot(next, diff, source, !d.endpointsLoaded)
}

// expireMissing removes the endpoints that have been missing for longer than missingGrace.
func (d *Directory) expireMissing() {
	d.mu.Lock()
	defer d.mu.Unlock()
	next, diff := d.snapshot.Expire(d.options.Clock.Now())
	d.setSnapshot(next, diff, "time", false)
}

// setSnapshot replaces the snapshot, logs the difference and applies it; d.mu must be held. first is set if no endpoints
// were known before.
func (d *Directory) setSnapshot(next Snapshot, diff Difference, source string, first bool) {
	d.snapshot = next
	defer d.publish()
	if diff.Empty() && !first {
		return
	}
	if first {
		d.endpointsLoadedAt = d.options.Clock.Now()
	}
	d.endpointsLoaded = true
	for _, name := range diff.Missing {
		d.options.Logger.Log(event.EndpointMissing, log.Fields{"endpoint": name, "from": source, "version": next.Version()})
	}
	for _, name := range diff.Removed {
		d.options.Logger.Log(event.EndpointRemoved, log.Fields{"endpoint": name, "from": source, "version": next.Version()})
	}
	d.options.Logger.Log(event.EndpointsChanged, log.Fields{
		"version": next.Version(), "from": source, "changed": len(diff.Changed), "endpoints": len(next.entries),
	})
	d.apply()
}

// apply builds the catalog from the configuration and the endpoints and passes it to Options.Apply; d.mu must be held.
func (d *Directory) apply() {
	if d.configuration.Version == 0 || !d.endpointsLoaded {
		return
	}
	endpoints, primaries := d.snapshot.endpoints(d.options.Regions())
	catalog := d.indexed.WithEndpoints(endpoints)
	d.options.Apply(catalog, primaries)
	// Statements see the catalog only once it has been applied.
	d.publish()
	d.catalog.Store(catalog)
	d.inForce.Store(d.configuration.Version)
	d.primaries = primaries
	d.options.OnChange()
}

// publish makes the current versions visible to Versions; d.mu must be held.
func (d *Directory) publish() {
	d.versions.Store(&Versions{Configuration: d.configuration.Version, Endpoints: d.snapshot.Version()})
}

// Use calls f with the arguments of the latest call of Options.Apply, if there was one. It does not overlap with calls of
// Options.Apply.
func (d *Directory) Use(f func(catalog *config.Catalog, primaries map[string]string)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if catalog := d.catalog.Load(); catalog != nil {
		f(catalog, d.primaries)
	}
}

// Reapply builds the catalog again and calls Options.Apply with it. Call it when something else has changed on which the
// catalog depends.
func (d *Directory) Reapply() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply()
}
