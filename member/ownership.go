package member

import (
	"github.com/apex/log"

	"siskincove/config"
	"siskincove/event"
)

// ownerOrder returns the live instances that may own an endpoint, the owner first.
func (d *Driver) ownerOrder(e config.Endpoint) []Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	placement := d.currentPlacement()
	if order, ok := d.ownerOrders[e.Name]; ok {
		return order
	}
	order := placement.HighestRanked(e.Name, e.Domain, ownerCandidates)
	d.ownerOrders[e.Name] = order
	d.logOwnerChange(e.Name, order)
	return order
}

// logOwnerChange records an endpoint's owner and logs a change; d.mu must be held.
func (d *Driver) logOwnerChange(endpoint string, order []Instance) {
	owner := ""
	if len(order) > 0 {
		owner = order[0].ID
	}
	if before, known := d.lastOwner[endpoint]; known && before != owner {
		d.options.Logger.Log(event.PlacementChanged, log.Fields{"endpoint": endpoint, "before": before, "owner": owner})
	}
	d.lastOwner[endpoint] = owner
}

// currentPlacement returns the current placement, rebuilt if the instances that take part have changed; d.mu must be held.
func (d *Driver) currentPlacement() *Placement {
	if d.placement == nil || d.version != d.table.Version() {
		d.placement = NewPlacement(d.table.Placed())
		d.ownerOrders = make(map[string][]Instance)
		d.version = d.table.Version()
	}
	return d.placement
}

// HighestRanked returns the n instances near a failure domain that rank highest for a key; see Placement.HighestRanked.
func (d *Driver) HighestRanked(key, domain string, n int) []Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.currentPlacement().HighestRanked(key, domain, n)
}

// Owner returns the address of the instance that owns an endpoint in this instance's view, or false if there is none.
func (d *Driver) Owner(e config.Endpoint) (string, bool) {
	order := d.ownerOrder(e)
	if len(order) == 0 {
		return "", false
	}
	return order[0].Address, true
}

// Owns reports whether this instance has settled and owns an endpoint in its own view.
func (d *Driver) Owns(e config.Endpoint) bool {
	order := d.ownerOrder(e)
	return d.Settled() && len(order) > 0 && order[0].ID == d.options.Self.ID
}

// MayOwn reports whether this instance has settled and is the owner of an endpoint or ranks next after it.
func (d *Driver) MayOwn(e config.Endpoint) bool {
	if !d.Settled() {
		return false
	}
	for _, i := range d.ownerOrder(e) {
		if i.ID == d.options.Self.ID {
			return true
		}
	}
	return false
}

// Settled reports whether this instance has exchanged heartbeats for long enough to know the others, as it must before it
// owns endpoints; see settlePeriods.
func (d *Driver) Settled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settledPeriods >= settlePeriods
}

// Coordinators returns up to n instances that coordinate a database, the first to act first, spread over the regions of its
// endpoints. It returns none until this instance has settled.
func (d *Driver) Coordinators(database string, endpoints []config.Endpoint, n int) []Instance {
	if !d.Settled() {
		return nil
	}
	domains := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		domains = append(domains, e.Domain)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.currentPlacement().Spread("coordinator/"+database, domains, n)
}

// AffectsDomain reports whether a change of the live instances in a region can affect the placement of an endpoint in a
// failure domain: the domain is in that region, or its own region has no instances. A region of "" means all.
func (d *Driver) AffectsDomain(region, domain string) bool {
	if region == "" || config.Region(domain) == region {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.currentPlacement().HasInstances(domain)
}
