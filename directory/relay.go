package directory

import "siskincove/store"

// Offer is what an instance has in force, for peers that have less.
type Offer struct {
	Configuration store.Row
	Endpoints     []store.Row
	// Version is the store's version at which the endpoints last changed.
	Version uint64
}

// Versions tells how new an instance's configuration and endpoints are.
type Versions struct {
	Configuration uint64
	Endpoints     uint64
}

// NewerThan reports whether v has something newer than other.
func (v Versions) NewerThan(other Versions) bool {
	return v.Configuration > other.Configuration || v.Endpoints > other.Endpoints
}

// Versions returns what is in force here.
func (d *Directory) Versions() Versions {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Versions{Configuration: d.configuration.Version, Endpoints: d.sheet.Version()}
}

// Offer returns what is in force here and newer than a peer's.
func (d *Directory) Offer(theirs Versions) Offer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var o Offer
	if d.configuration.Version > theirs.Configuration {
		o.Configuration = d.configuration
	}
	if d.sheet.Version() > theirs.Endpoints {
		o.Endpoints, o.Version = d.sheet.Rows(), d.sheet.Version()
	}
	return o
}

// Accept takes over what a peer has and is newer.
func (d *Directory) Accept(o Offer) {
	if o.Configuration.Version > 0 {
		d.takeConfiguration(o.Configuration, fromPeer)
	}
	if o.Version > 0 {
		d.takeEndpoints(o.Endpoints, o.Version, fromPeer)
	}
}
