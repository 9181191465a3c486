package config

import "time"

// Catalog indexes the objects of a checked set by name. It is immutable.
type Catalog struct {
	Set         Set
	services    map[string]Service
	databases   map[string]Database
	endpoints   map[string]Endpoint
	routes      map[string]Route
	allowances  map[string]Allowance
	limits      map[string]Limit
	callers     map[string]Caller
	workspaces  *workspaceIndex
	members     map[string][]Endpoint
	idleTimeout time.Duration
	// keysRequired is set if callers need a key even though there is no workspace.
	keysRequired bool
}

// NewCatalog indexes a set.
func NewCatalog(s Set) *Catalog {
	s = s.Sorted()
	c := &Catalog{
		Set:        s,
		services:   index(s.Services, func(o Service) string { return o.Name }),
		databases:  index(s.Databases, func(o Database) string { return o.Name }),
		routes:     index(s.Routes, func(o Route) string { return o.Name }),
		allowances: index(s.Allowances, func(o Allowance) string { return o.Name }),
		limits:     index(s.Limits, func(o Limit) string { return o.Name }),
		callers:    index(s.Callers, func(o Caller) string { return o.Name }),
		workspaces: newWorkspaceIndex(s.Workspaces),
	}
	return c.WithEndpoints(s.Endpoints)
}

// WithEndpoints returns a copy with other endpoints, which shares the indexes of all other objects.
func (c *Catalog) WithEndpoints(endpoints []Endpoint) *Catalog {
	next := *c
	next.Set.Endpoints = sorted(endpoints, func(o Endpoint) string { return o.Name })
	next.endpoints = index(endpoints, func(o Endpoint) string { return o.Name })
	next.members = make(map[string][]Endpoint)
	for _, e := range next.Set.Endpoints {
		next.members[e.Database] = append(next.members[e.Database], e)
	}
	return &next
}

func index[T any](objects []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(objects))
	for _, o := range objects {
		out[name(o)] = o
	}
	return out
}

// WithIdleTimeout returns a copy in which an open transaction may stay idle for at most timeout; 0 means no limit.
func (c *Catalog) WithIdleTimeout(timeout time.Duration) *Catalog {
	next := *c
	next.idleTimeout = timeout
	return &next
}

// IdleTimeout returns how long an open transaction may stay idle; 0 means no limit.
func (c *Catalog) IdleTimeout() time.Duration { return c.idleTimeout }

// WithKeysRequired returns a copy in which callers need the key of a workspace even if there is none, as when the last one was
// removed.
func (c *Catalog) WithKeysRequired(required bool) *Catalog {
	next := *c
	next.keysRequired = required
	return &next
}

// Service returns the service with the given name.
func (c *Catalog) Service(name string) (Service, bool) { o, ok := c.services[name]; return o, ok }

// Database returns the database with the given name.
func (c *Catalog) Database(name string) (Database, bool) { o, ok := c.databases[name]; return o, ok }

// Endpoint returns the endpoint with the given name.
func (c *Catalog) Endpoint(name string) (Endpoint, bool) { o, ok := c.endpoints[name]; return o, ok }

// Route returns the route with the given name.
func (c *Catalog) Route(name string) (Route, bool) { o, ok := c.routes[name]; return o, ok }

// Allowance returns the allowance with the given name.
func (c *Catalog) Allowance(name string) (Allowance, bool) { o, ok := c.allowances[name]; return o, ok }

// Limit returns the limit with the given name.
func (c *Catalog) Limit(name string) (Limit, bool) { o, ok := c.limits[name]; return o, ok }

// Caller returns the caller with the given name.
func (c *Catalog) Caller(name string) (Caller, bool) { o, ok := c.callers[name]; return o, ok }

// Members returns the endpoints of a database, ordered by name.
func (c *Catalog) Members(database string) []Endpoint { return c.members[database] }

// Workspace returns the workspace with the given name.
func (c *Catalog) Workspace(name string) (Workspace, bool) { return found(c.workspaces.byName[name]) }

// Workspaces returns the number of workspaces.
func (c *Catalog) Workspaces() int { return len(c.workspaces.byName) }

// HasWorkspaces reports whether callers need the key of a workspace, except on anonymous routes.
func (c *Catalog) HasWorkspaces() bool { return c.keysRequired || len(c.workspaces.byName) > 0 }

// KeyOwner returns the workspace that holds a key.
func (c *Catalog) KeyOwner(key KeyHash) (Workspace, bool) { return found(c.workspaces.byKey[key]) }

// SharesWorkspaces reports whether other is a catalog of the same configuration, which thus has the same workspaces.
func (c *Catalog) SharesWorkspaces(other *Catalog) bool {
	return other != nil && c.workspaces == other.workspaces
}

func found(w *Workspace) (Workspace, bool) {
	if w == nil {
		return Workspace{}, false
	}
	return *w, true
}
