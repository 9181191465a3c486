package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"siskincove/document"
)

const (
	// endpointsMinimum is the smallest group in which a majority remains after the loss of one endpoint.
	endpointsMinimum = 3
	reserveMinimum   = 2
	deadlineMaximum  = 10 * time.Minute
	verifierPrefix   = "SCRAM-SHA-256$"
)

// Vendors are the valid values of Database.Vendor.
var Vendors = []string{"postgres", "managed"}

// checker validates a source and collects the problems.
type checker struct {
	source     *Source
	catalog    *Catalog
	problems   document.Problems
	referenced map[objectName]bool
}

// objectName identifies an object by kind and name.
type objectName struct {
	kind Kind
	name string
}

// Check returns all problems of a source. A set may be published only if there are none.
func Check(source *Source) document.Problems {
	c := &checker{source: source, catalog: NewCatalog(source.Set), referenced: make(map[objectName]bool)}
	c.names()
	c.services()
	c.databases()
	c.endpoints()
	c.routes()
	c.cycles()
	c.callers()
	c.workspaces()
	c.limits()
	c.allowances()
	return c.problems
}

func (c *checker) report(kind Kind, index int, key, format string, args ...any) {
	c.problems = append(c.problems, c.source.problem(kind, index, key, fmt.Sprintf(format, args...)))
}

func (c *checker) names() {
	s := c.source.Set
	checkNames(c, KindService, s.Services, func(o Service) string { return o.Name })
	checkNames(c, KindDatabase, s.Databases, func(o Database) string { return o.Name })
	checkNames(c, KindEndpoint, s.Endpoints, func(o Endpoint) string { return o.Name })
	checkNames(c, KindRoute, s.Routes, func(o Route) string { return o.Name })
	checkNames(c, KindAllowance, s.Allowances, func(o Allowance) string { return o.Name })
	checkNames(c, KindLimit, s.Limits, func(o Limit) string { return o.Name })
	checkNames(c, KindCaller, s.Callers, func(o Caller) string { return o.Name })
	checkNames(c, KindWorkspace, s.Workspaces, func(o Workspace) string { return o.Name })
}

func checkNames[T any](c *checker, kind Kind, objects []T, name func(T) string) {
	seen := make(map[string]bool)
	for i, o := range objects {
		n := name(o)
		switch {
		case n == "":
			c.report(kind, i, "name", "missing")
		case strings.ContainsAny(n, " /'\""):
			c.report(kind, i, "name", "%q has a space, a slash or a quote", n)
		case seen[n]:
			c.report(kind, i, "name", "another %s is called %q", kind, n)
		}
		seen[n] = true
	}
}

// checkReference reports a reference that is missing or whose target does not exist, and marks an existing target as
// referenced.
func (c *checker) checkReference(kind Kind, index int, key string, target Kind, name string, found bool) {
	if name == "" {
		c.report(kind, index, key, "missing; name a %s", target)
		return
	}
	if !found {
		c.report(kind, index, key, "no %s is called %q", target, name)
		return
	}
	c.referenced[objectName{target, name}] = true
}

func (c *checker) services() {
	for i, o := range c.source.Set.Services {
		route, ok := c.catalog.Route(o.Route)
		c.checkReference(KindService, i, "route", KindRoute, o.Route, ok)
		if ok && route.Service != o.Name {
			c.report(KindService, i, "route", "route %q belongs to service %q", o.Route, route.Service)
		}
	}
}

func (c *checker) databases() {
	for i, o := range c.source.Set.Databases {
		if !slices.Contains(Vendors, o.Vendor) {
			c.report(KindDatabase, i, "vendor", "%q is none of %s", o.Vendor, strings.Join(Vendors, ", "))
		}
		if !slices.Contains([]string{"", TLSOff, TLSAuthority, TLSNamed}, o.TLS) {
			c.report(KindDatabase, i, "tls", "%q is none of off, authority, named", o.TLS)
		}
		members := c.catalog.Members(o.Name)
		remaining := 0
		for _, e := range members {
			if !e.Leaving {
				remaining++
			}
		}
		if len(members) < endpointsMinimum {
			c.report(KindDatabase, i, "name", "has %d endpoints; %d or more are needed for a majority to survive a failure", len(members), endpointsMinimum)
		} else if remaining == 0 {
			c.report(KindDatabase, i, "name", "every endpoint is leaving")
		}
	}
}

func (c *checker) endpoints() {
	addresses := make(map[string]string)
	for i, o := range c.source.Set.Endpoints {
		_, ok := c.catalog.Database(o.Database)
		c.checkReference(KindEndpoint, i, "database", KindDatabase, o.Database, ok)
		if _, err := netip.ParseAddrPort(o.Address); err != nil {
			c.report(KindEndpoint, i, "address", "%q is not an IP:port", o.Address)
		} else if other := addresses[o.Address]; other != "" {
			c.report(KindEndpoint, i, "address", "endpoint %q has the same address", other)
		}
		addresses[o.Address] = o.Name
		if !validDomain(o.Domain) {
			c.report(KindEndpoint, i, "domain", "%q is not of the form region/domain", o.Domain)
		}
		limit, ok := c.catalog.Limit(o.Limit)
		c.checkReference(KindEndpoint, i, "limit", KindLimit, o.Limit, ok)
		if ok && (limit.Slots == 0 || limit.Connections == 0) {
			c.report(KindEndpoint, i, "limit", "limit %q sets no slots or no connections", o.Limit)
		}
	}
}

func validDomain(domain string) bool {
	region, rest, found := strings.Cut(domain, "/")
	return found && region != "" && rest != "" && !strings.Contains(rest, "/")
}

func (c *checker) routes() {
	for i, o := range c.source.Set.Routes {
		_, ok := c.catalog.Service(o.Service)
		c.checkReference(KindRoute, i, "service", KindService, o.Service, ok)
		_, ok = c.catalog.Database(o.Database)
		c.checkReference(KindRoute, i, "database", KindDatabase, o.Database, ok)
		if o.Reads != ReadsPrimary && o.Reads != ReadsReplica {
			c.report(KindRoute, i, "reads", "%q is neither %s nor %s", o.Reads, ReadsPrimary, ReadsReplica)
		}
		if o.Allowance != "" {
			_, ok = c.catalog.Allowance(o.Allowance)
			c.checkReference(KindRoute, i, "allowance", KindAllowance, o.Allowance, ok)
		}
		if o.Allowance != "" && o.Reads == ReadsPrimary {
			c.report(KindRoute, i, "allowance", "reads go to the primary, so the allowance has no effect")
		}
		c.routeLimit(i, o)
		c.fallback(i, o)
	}
}

func (c *checker) routeLimit(i int, o Route) {
	if o.Limit == "" {
		return
	}
	limit, ok := c.catalog.Limit(o.Limit)
	c.checkReference(KindRoute, i, "limit", KindLimit, o.Limit, ok)
	if ok && limit.Weight == 0 {
		c.report(KindRoute, i, "limit", "limit %q sets no weight", o.Limit)
	}
}

func (c *checker) fallback(i int, o Route) {
	if o.Fallback == "" {
		return
	}
	next, ok := c.catalog.Route(o.Fallback)
	c.checkReference(KindRoute, i, "fallback", KindRoute, o.Fallback, ok)
	if ok && next.Database != o.Database {
		c.report(KindRoute, i, "fallback", "route %q reads another database", o.Fallback)
	}
}

// cycles reports routes whose chain of fallbacks leads back to them. Routes that only lead into a cycle are not reported.
func (c *checker) cycles() {
	for i, o := range c.source.Set.Routes {
		seen := map[string]bool{o.Name: true}
		path := []string{o.Name}
		for next := o.Fallback; next != ""; {
			path = append(path, next)
			if seen[next] {
				c.reportCycle(i, o, next, path)
				break
			}
			seen[next] = true
			route, _ := c.catalog.Route(next)
			next = route.Fallback
		}
	}
}

func (c *checker) reportCycle(i int, o Route, repeated string, path []string) {
	if repeated == o.Name {
		c.report(KindRoute, i, "fallback", "cycle: %s", strings.Join(path, " -> "))
	}
}

func (c *checker) callers() {
	for i, o := range c.source.Set.Callers {
		if len(o.Services) == 0 {
			c.report(KindCaller, i, "services", "missing; name at least one service")
		}
		for _, name := range o.Services {
			_, ok := c.catalog.Service(name)
			c.checkReference(KindCaller, i, "services", KindService, name, ok)
		}
		if o.Workspace != "" {
			_, ok := c.catalog.Workspace(o.Workspace)
			c.checkReference(KindCaller, i, "workspace", KindWorkspace, o.Workspace, ok)
		}
		if !strings.HasPrefix(o.Verifier, verifierPrefix) {
			c.report(KindCaller, i, "verifier", "not a SCRAM-SHA-256 verifier; make one with siskincove verifier")
		}
	}
}

func (c *checker) limits() {
	for i, o := range c.source.Set.Limits {
		c.limit(i, o)
		if o.Name != "" && !c.referenced[objectName{KindLimit, o.Name}] {
			c.report(KindLimit, i, "name", "no endpoint or route uses limit %q", o.Name)
		}
	}
}

func (c *checker) limit(i int, o Limit) {
	fields := []struct {
		key   string
		value int
	}{{"slots", o.Slots}, {"connections", o.Connections}, {"reserve", o.Reserve}, {"rate", o.Rate}, {"weight", o.Weight}, {"queue", o.Queue}}
	for _, f := range fields {
		if f.value < 0 {
			c.report(KindLimit, i, f.key, "%d is negative", f.value)
		}
	}
	if o.Slots > 0 && o.Connections > 0 && o.Slots > o.Connections-max(o.Reserve, reserveMinimum) {
		c.report(KindLimit, i, "slots", "%d slots do not fit in %d connections of which %d are reserved", o.Slots, o.Connections, max(o.Reserve, reserveMinimum))
	}
	if d := o.Deadline.Std(); d < 0 || d > deadlineMaximum {
		c.report(KindLimit, i, "deadline", "%s is not between 0s and %s", d, deadlineMaximum)
	}
}

func (c *checker) allowances() {
	for i, o := range c.source.Set.Allowances {
		if o.Age <= 0 {
			c.report(KindAllowance, i, "age", "must be above zero")
		}
		if o.Name != "" && !c.referenced[objectName{KindAllowance, o.Name}] {
			c.report(KindAllowance, i, "name", "no route uses allowance %q", o.Name)
		}
	}
}
