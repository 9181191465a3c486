package directory

import "siskincove/store"

// Offer holds the configuration and endpoints that an instance offers to a peer. A part that is not newer than the peer's is
// zero.
type Offer struct {
	Configuration store.Row
	Endpoints     []store.Row
	// EndpointsVersion is the store version at which the endpoints last changed.
	EndpointsVersion uint64
}

// Versions are the store versions of an instance's configuration and endpoints.
type Versions struct {
	Configuration uint64
	Endpoints     uint64
}

// NewerThan reports whether the configuration or the endpoints of v are newer than those of other.
func (v Versions) NewerThan(other Versions) bool {
	return v.Configuration > other.Configuration || v.Endpoints > other.Endpoints
}

// Versions returns the versions of the current configuration and endpoints.
func (d *Directory) Versions() Versions {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Versions{Configuration: d.configurationRow.Version, Endpoints: d.snapshot.Version()}
}

// Offer returns the configuration and the endpoints, each only if it is newer than the peer's.
func (d *Directory) Offer(peer Versions) Offer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var o Offer
	if d.configurationRow.Version > peer.Configuration {
		o.Configuration = d.configurationRow
	}
	if d.snapshot.Version() > peer.Endpoints {
		o.Endpoints, o.EndpointsVersion = d.snapshot.Rows(), d.snapshot.Version()
	}
	return o
}

// Accept applies the parts of a peer's offer that are newer than the current configuration or endpoints.
func (d *Directory) Accept(o Offer) {
	if o.Configuration.Version > 0 {
		d.updateConfiguration(o.Configuration, sourcePeer)
	}
	if o.EndpointsVersion > 0 {
		d.updateEndpoints(o.Endpoints, o.EndpointsVersion, sourcePeer)
	}
}
