package coordinator

import (
	"context"
	"sync"

	"siskincove/config"
	"siskincove/member"
)

// Runner coordinates one database until it is closed.
type Runner interface {
	// Configure applies a newer configuration of the database and the group's endpoints.
	Configure(d config.Database, endpoints []config.Endpoint)
	// Close stops the runner without waiting for it; see Done.
	Close()
	// Done returns a channel that is closed once the runner has stopped.
	Done() <-chan struct{}
}

// Members tells which instances coordinate a database.
type Members interface {
	// Coordinators returns at most n instances that coordinate a database, the first to act first.
	Coordinators(database string, endpoints []config.Endpoint, n int) []member.Instance
	// AffectsDomain reports whether a change of the instances in a region can change the coordinators of a database with an
	// endpoint in domain.
	AffectsDomain(region, domain string) bool
}

// Options configure a Set.
type Options[R Runner] struct {
	// Self is the ID of this instance.
	Self    string
	Members Members
	// Count is how many instances coordinate a database.
	Count int
	// Start starts the runner of a database.
	Start func(ctx context.Context, d config.Database, endpoints []config.Endpoint) R
}

// Set manages the runners of this instance.
type Set[R Runner] struct {
	ctx     context.Context
	options Options[R]

	mu      sync.Mutex
	catalog *config.Catalog
	runners map[string]R
	stopped bool
}

// New returns a set without runners. Runners started later stop when ctx ends.
func New[R Runner](ctx context.Context, o Options[R]) *Set[R] {
	return &Set[R]{ctx: ctx, options: o, runners: make(map[string]R)}
}

// Rank returns this instance's index among a database's coordinators, and false if it is not one of them.
func (s *Set[R]) Rank(database string) (int, bool) {
	s.mu.Lock()
	if s.catalog == nil {
		s.mu.Unlock()
		return 0, false
	}
	endpoints := s.catalog.Members(database)
	s.mu.Unlock()
	return s.rank(database, endpoints)
}

// Runs reports whether this instance runs a coordinator of a database.
func (s *Set[R]) Runs(database string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.runners[database]
	return ok
}

func (s *Set[R]) rank(database string, endpoints []config.Endpoint) (int, bool) {
	for rank, instance := range s.options.Members.Coordinators(database, endpoints, s.options.Count) {
		if instance.ID == s.options.Self {
			return rank, true
		}
	}
	return 0, false
}

// Configure applies a newer configuration.
func (s *Set[R]) Configure(catalog *config.Catalog) {
	s.mu.Lock()
	s.catalog = catalog
	s.mu.Unlock()
	s.Reconcile("")
}

// Reconcile starts and stops runners after a change of the configuration, or of the instances in a region. An empty region
// means all regions.
func (s *Set[R]) Reconcile(region string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.catalog == nil || s.ctx.Err() != nil {
		return
	}
	for _, d := range s.catalog.Set.Databases {
		endpoints := s.catalog.Members(d.Name)
		if s.affected(region, endpoints) {
			s.reconcileDatabase(d, endpoints)
		}
	}
	for name, runner := range s.runners {
		if _, declared := s.catalog.Database(name); !declared {
			runner.Close()
			delete(s.runners, name)
		}
	}
}

func (s *Set[R]) reconcileDatabase(d config.Database, endpoints []config.Endpoint) {
	_, wanted := s.rank(d.Name, endpoints)
	runner, exists := s.runners[d.Name]
	switch {
	case wanted && !s.stopped && !exists:
		s.runners[d.Name] = s.options.Start(s.ctx, d, endpoints)
	case exists && (!wanted || s.stopped):
		runner.Close()
		delete(s.runners, d.Name)
	case exists:
		runner.Configure(d, endpoints)
	}
}

// affected reports whether a change of the instances in a region can change a group's coordinators.
func (s *Set[R]) affected(region string, endpoints []config.Endpoint) bool {
	for _, e := range endpoints {
		if s.options.Members.AffectsDomain(region, e.Domain) {
			return true
		}
	}
	return false
}

// Stop stops all runners, waits for them and keeps the set from starting others.
func (s *Set[R]) Stop() {
	s.mu.Lock()
	s.stopped = true
	runners := s.runners
	s.runners = make(map[string]R)
	s.mu.Unlock()
	for _, runner := range runners {
		runner.Close()
		<-runner.Done()
	}
}
