package directory

import (
	"siskincove/store"
	"siskincove/transfer"
)

// Offer holds the configuration and endpoints that an instance offers to a peer. A part that is not newer than the peer's is
// zero.
type Offer struct {
	Configuration store.Row
	// Document holds the pieces of Configuration if that is large. In an offer that was received, the value of Configuration may be
	// missing; Manifest then lists its pieces and Offered is its version.
	Document transfer.Document
	Manifest transfer.Manifest
	Offered  uint64
	// Endpoints holds all rows, or only those that have changed since the peer's version if Partial is set. Delisted then
	// names the endpoints that are no longer listed.
	Endpoints []store.Row
	Delisted  []string
	Partial   bool
	// Digest and Sum are the Snapshot.Digest and Snapshot.Sum of the peer that made the offer. Sum is zero if the peer has no endpoints or
	// is of a build that sends only Digest.
	Digest uint64
	Sum    transfer.Sum
	// EndpointsVersion is the store version at which the endpoints last changed.
	EndpointsVersion store.Version
	// Table, in an offer that was received without Endpoints, lists the pieces of all of them.
	Table transfer.Manifest
}

// Pending returns the versions of what an offer that was received only lists the pieces of.
func (o Offer) Pending() Versions {
	var out Versions
	if len(o.Manifest.Hashes) > 0 {
		out.Configuration = o.Offered
	}
	if len(o.Table.Hashes) > 0 {
		out.Endpoints = o.EndpointsVersion
	}
	return out
}

// Bytes returns the size of the rows in the offer.
func (o Offer) Bytes() int {
	n := len(o.Configuration.Value)
	for _, row := range o.Endpoints {
		n += len(row.Value)
	}
	return n
}

// Versions are the version that the operator gave an instance's configuration, which a restored store does not change, and
// the store version of its endpoints.
type Versions struct {
	Configuration uint64
	Endpoints     store.Version
}

// NewerThan reports whether the configuration or the endpoints of v are newer than those of other.
func (v Versions) NewerThan(other Versions) bool {
	return v.Configuration > other.Configuration || v.Endpoints > other.Endpoints
}

// Versions returns the versions of the configuration and endpoints that have been applied. It does not wait for those that are being
// applied.
func (d *Directory) Versions() Versions {
	if v := d.versions.Load(); v != nil {
		return *v
	}
	return Versions{}
}

// Known returns the versions that need not be fetched: those of Versions, or of a configuration that is being applied.
func (d *Directory) Known() Versions {
	return d.Versions().orNewer(Versions{Configuration: d.arriving.Load()})
}

// Offer returns the configuration and the endpoints, each only if it is newer than the peer's. If the peer accepts changes,
// the endpoints are limited to those where that is possible.
func (d *Directory) Offer(peer Versions, acceptsChanges bool) Offer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var o Offer
	if d.configuration.Version > peer.Configuration {
		o.Configuration, o.Document, o.Offered = d.configurationRow, d.document, d.configuration.Version
	}
	if d.snapshot.Version() <= peer.Endpoints {
		return o
	}
	o.EndpointsVersion, o.Digest, o.Sum = d.snapshot.Version(), d.snapshot.Digest(), d.snapshot.Sum()
	changes, complete := d.snapshot.ChangesSince(peer.Endpoints)
	if o.Partial = acceptsChanges && complete; o.Partial {
		o.Endpoints, o.Delisted = changes.Rows, changes.Delisted
	} else {
		o.Endpoints = d.snapshot.Rows()
	}
	return o
}

// Document returns the pieces of the current configuration if that is large, and otherwise a document without pieces.
func (d *Directory) Document() transfer.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.document
}

// Accept applies the parts of a peer's offer that it holds whole and that are newer than the current configuration or endpoints. It returns false if
// the offered changes of the endpoints do not lead to the peer's endpoints, so that all of them are needed.
func (d *Directory) Accept(o Offer) bool {
	if len(o.Configuration.Value) > 0 {
		d.updateConfiguration(o.Configuration, sourcePeer)
	}
	if o.EndpointsVersion == 0 || len(o.Table.Hashes) > 0 {
		return true
	}
	rows := o.Endpoints
	if o.Partial {
		var ok bool
		if rows, ok = d.rowsAfter(o); !ok {
			return false
		}
	}
	d.updateEndpoints(rows, o.EndpointsVersion, sourcePeer)
	return true
}

// rowsAfter returns all rows after an offer of changes, and false if they differ from the peer's.
func (d *Directory) rowsAfter(o Offer) ([]store.Row, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rows := d.snapshot.RowsAfter(Changes{Rows: o.Endpoints, Delisted: o.Delisted})
	ignore := func(string, error) {}
	after, _ := d.snapshot.With(rows, o.EndpointsVersion, d.options.Decoder, d.options.Clock.Now(), ignore)
	if o.Sum != (transfer.Sum{}) {
		return rows, after.Sum() == o.Sum
	}
	return rows, after.Digest() == o.Digest
}
