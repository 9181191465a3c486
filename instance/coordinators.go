package instance

import (
	"context"
	"sync"

	"siskincove/config"
	"siskincove/failover"
	"siskincove/member"
)

// coordinators runs the coordinators of the databases that this instance is among the first to coordinate.
type coordinators struct {
	ctx     context.Context
	options failover.Options
	members *member.Driver
	self    string

	mu      sync.Mutex
	catalog *config.Catalog
	running map[string]*failover.Coordinator
	leaving bool
}

func newCoordinators(ctx context.Context, self string, members *member.Driver, o failover.Options) *coordinators {
	c := &coordinators{ctx: ctx, members: members, self: self, running: make(map[string]*failover.Coordinator)}
	o.Ranking = c
	c.options = o
	return c
}

// Rank returns this instance's place in the order of a database's coordinators.
func (c *coordinators) Rank(database string) (int, bool) {
	c.mu.Lock()
	members := c.catalog.Members(database)
	c.mu.Unlock()
	return c.rank(database, members)
}

func (c *coordinators) rank(database string, members []config.Endpoint) (int, bool) {
	for rank, i := range c.members.Coordinators(database, members, failover.Coordinators) {
		if i.ID == c.self {
			return rank, true
		}
	}
	return 0, false
}

func (c *coordinators) configure(catalog *config.Catalog) {
	c.mu.Lock()
	c.catalog = catalog
	c.mu.Unlock()
	c.place("")
}

// place starts and ends coordinators after a change of configuration, or of the instances in a region.
func (c *coordinators) place(region string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.catalog == nil || c.ctx.Err() != nil {
		return
	}
	for _, d := range c.catalog.Set.Databases {
		members := c.catalog.Members(d.Name)
		if !c.concerned(region, members) {
			continue
		}
		_, wanted := c.rank(d.Name, members)
		running, exists := c.running[d.Name]
		switch {
		case wanted && !c.leaving && !exists:
			c.running[d.Name] = failover.New(c.ctx, c.options, d.Name, members)
		case exists && (!wanted || c.leaving):
			running.Close()
			delete(c.running, d.Name)
		case exists:
			running.Configure(members)
		}
	}
	for name, running := range c.running {
		if _, declared := c.catalog.Database(name); !declared {
			running.Close()
			delete(c.running, name)
		}
	}
}

// concerned reports whether a change of the instances in a region can change a group's coordinators.
func (c *coordinators) concerned(region string, members []config.Endpoint) bool {
	for _, e := range members {
		if c.members.Concerns(region, e.Domain) {
			return true
		}
	}
	return false
}

// leave ends every coordinator and waits for them.
func (c *coordinators) leave() {
	c.mu.Lock()
	c.leaving = true
	all := c.running
	c.running = make(map[string]*failover.Coordinator)
	c.mu.Unlock()
	for _, running := range all {
		running.Close()
		<-running.Done()
	}
}
