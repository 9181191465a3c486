package pool

import (
	"cmp"
	"slices"

	"siskincove/endpoint"
)

// State describes a pool to operators.
type State struct {
	Endpoint string `json:"endpoint"`
	Database string `json:"database"`
	Role     string `json:"role"`
	Term     uint64 `json:"term"`
	Log      string `json:"log"`
	Applied  string `json:"applied"`
	// Responding is set if the endpoint responded to the last status query.
	Responding bool `json:"answers"`
	// Established is set if the endpoint is a usable primary: a majority holds a record of its term.
	Established bool `json:"established"`
	// Confirmable is set if enough replicas follow the primary for commits to be confirmed.
	Confirmable bool `json:"confirmable"`
	// Age is an upper bound on the age of the endpoint's data in milliseconds, -1 if unknown.
	Age      int64 `json:"age"`
	Open     int   `json:"open"`
	Slots    int   `json:"slots"`
	Waiting  int   `json:"waiting"`
	Inflight int   `json:"inflight"`
}

// State returns the pool's current state.
func (p *Pool) State() State {
	snapshot := p.snapshot()
	term := endpoint.LogTerm(snapshot.status.Fenced)
	established, confirmable := p.confirmer.isEstablished(term), p.confirmer.confirmable(term)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := State{
		Endpoint: p.name, Database: p.options.Database.Name, Role: snapshot.status.Role.String(),
		Term: uint64(snapshot.status.Fenced), Log: snapshot.status.Log.String(), Applied: snapshot.status.Applied.String(), Responding: snapshot.unresponsiveFor == 0,
		Established: established, Confirmable: confirmable, Age: -1, Open: p.open, Slots: p.slots.Used(),
		Waiting: p.slots.Waiting(), Inflight: p.inflight,
	}
	if age, ok := p.history.Age(snapshot.status.Applied, p.now()); ok {
		s.Age = age.Milliseconds()
	}
	return s
}

// States returns the states of all pools, ordered by endpoint.
func (o *Owner) States() []State {
	o.mu.Lock()
	pools := make([]*Pool, 0, len(o.pools))
	for _, p := range o.pools {
		pools = append(pools, p)
	}
	o.mu.Unlock()
	out := make([]State, 0, len(pools))
	for _, p := range pools {
		out = append(out, p.State())
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}
