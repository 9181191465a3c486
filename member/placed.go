package member

import (
	"github.com/apex/log"

	"siskincove/config"
	"siskincove/event"
)

// order returns the live instances in the order in which they may own an endpoint.
func (d *Driver) order(e config.Endpoint) []Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	placement := d.current()
	if order, ok := d.owners[e.Name]; ok {
		return order
	}
	order := placement.Top(e.Name, e.Domain, mayOwn)
	d.owners[e.Name] = order
	d.reportOwner(e.Name, order)
	return order
}

// reportOwner logs that an endpoint's owner is another instance than before.
func (d *Driver) reportOwner(endpoint string, order []Instance) {
	owner := ""
	if len(order) > 0 {
		owner = order[0].ID
	}
	if before, known := d.last[endpoint]; known && before != owner {
		d.options.Logger.Log(event.PlacementMade, log.Fields{"endpoint": endpoint, "before": before, "owner": owner})
	}
	d.last[endpoint] = owner
}

// current returns the placement over the live instances, made anew when these have changed.
func (d *Driver) current() *Placement {
	if d.placement == nil || d.version != d.table.Version() {
		d.placement = NewPlacement(d.table.Live())
		d.owners = make(map[string][]Instance)
		d.version = d.table.Version()
	}
	return d.placement
}

// Near returns the most instances near a failure domain that rank highest for a key.
func (d *Driver) Near(key, domain string, most int) []Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current().Top(key, domain, most)
}

// Owner returns the address of the instance that owns an endpoint by this instance's view.
func (d *Driver) Owner(e config.Endpoint) (string, bool) {
	order := d.order(e)
	if len(order) == 0 {
		return "", false
	}
	return order[0].Address, true
}

// Owns reports whether this instance is the owner of an endpoint by its own view, once it has settled.
func (d *Driver) Owns(e config.Endpoint) bool {
	order := d.order(e)
	return d.Settled() && len(order) > 0 && order[0].ID == d.options.Self.ID
}

// MayOwn reports whether this instance accepts work for an endpoint, as the first or the second in its order.
func (d *Driver) MayOwn(e config.Endpoint) bool {
	if !d.Settled() {
		return false
	}
	for _, i := range d.order(e) {
		if i.ID == d.options.Self.ID {
			return true
		}
	}
	return false
}

// Settled reports whether this instance knows the others well enough to own endpoints.
func (d *Driver) Settled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.periods >= settlePeriods
}

// Coordinators returns the instances that coordinate a database, in order, at most most of them, spread over the regions
// of its endpoints.
func (d *Driver) Coordinators(database string, members []config.Endpoint, most int) []Instance {
	if !d.Settled() {
		return nil
	}
	domains := make([]string, 0, len(members))
	for _, e := range members {
		domains = append(domains, e.Domain)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current().Spread("coordinator/"+database, domains, most)
}

// Concerns reports whether a change of the instances in a region can move an endpoint or database with this failure
// domain: it is in the region, or its own region has no instances.
func (d *Driver) Concerns(region, domain string) bool {
	if region == "" || config.Region(domain) == region {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.current().HasInstances(domain)
}
