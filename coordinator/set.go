package coordinator

import (
	"context"
	"sync"

	"siskincove/config"
	"siskincove/member"
)

// Runner coordinates one database until it is closed.
type Runner interface {
	// Configure takes over the database and the group's endpoints of a newer configuration.
	Configure(d config.Database, members []config.Endpoint)
	// Close ends the runner.
	Close()
	// Done is closed when the runner has ended.
	Done() <-chan struct{}
}

// Members tells which instances coordinate a database.
type Members interface {
	// Coordinators returns the instances that coordinate a database, in order.
	Coordinators(database string, members []config.Endpoint, n int) []member.Instance
	// Concerns reports whether a change of the instances in a region can change the order for an endpoint's domain.
	Concerns(region, domain string) bool
}

// Options are what a set needs to know and to use.
type Options[R Runner] struct {
	// Self is the name of this instance.
	Self    string
	Members Members
	// Count is how many instances coordinate a database.
	Count int
	// Start starts the runner of a database.
	Start func(ctx context.Context, d config.Database, members []config.Endpoint) R
}

// Set holds the runners of this instance.
type Set[R Runner] struct {
	ctx     context.Context
	options Options[R]

	mu      sync.Mutex
	catalog *config.Catalog
	running map[string]R
	leaving bool
}

// New returns a set without runners; they end with ctx.
func New[R Runner](ctx context.Context, o Options[R]) *Set[R] {
	return &Set[R]{ctx: ctx, options: o, running: make(map[string]R)}
}

// Rank returns this instance's place in the order of a database's coordinators, and false when it is none of them.
func (s *Set[R]) Rank(database string) (int, bool) {
	s.mu.Lock()
	if s.catalog == nil {
		s.mu.Unlock()
		return 0, false
	}
	members := s.catalog.Members(database)
	s.mu.Unlock()
	return s.rank(database, members)
}

func (s *Set[R]) rank(database string, members []config.Endpoint) (int, bool) {
	for rank, i := range s.options.Members.Coordinators(database, members, s.options.Count) {
		if i.ID == s.options.Self {
			return rank, true
		}
	}
	return 0, false
}

// Configure takes over a newer configuration.
func (s *Set[R]) Configure(catalog *config.Catalog) {
	s.mu.Lock()
	s.catalog = catalog
	s.mu.Unlock()
	s.Reconcile("")
}

// Place starts and ends runners after a change of the configuration, or of the instances in a region; "" means all.
func (s *Set[R]) Reconcile(region string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.catalog == nil || s.ctx.Err() != nil {
		return
	}
	for _, d := range s.catalog.Set.Databases {
		members := s.catalog.Members(d.Name)
		if s.concerned(region, members) {
			s.place(d, members)
		}
	}
	for name, running := range s.running {
		if _, declared := s.catalog.Database(name); !declared {
			running.Close()
			delete(s.running, name)
		}
	}
}

func (s *Set[R]) place(d config.Database, members []config.Endpoint) {
	_, wanted := s.rank(d.Name, members)
	running, exists := s.running[d.Name]
	switch {
	case wanted && !s.leaving && !exists:
		s.running[d.Name] = s.options.Start(s.ctx, d, members)
	case exists && (!wanted || s.leaving):
		running.Close()
		delete(s.running, d.Name)
	case exists:
		running.Configure(d, members)
	}
}

// concerned reports whether a change of the instances in a region can change a group's coordinators.
func (s *Set[R]) concerned(region string, members []config.Endpoint) bool {
	for _, e := range members {
		if s.options.Members.Concerns(region, e.Domain) {
			return true
		}
	}
	return false
}

// Leave ends every runner and waits for them.
func (s *Set[R]) Leave() {
	s.mu.Lock()
	s.leaving = true
	all := s.running
	s.running = make(map[string]R)
	s.mu.Unlock()
	for _, running := range all {
		running.Close()
		<-running.Done()
	}
}
