package pool

import (
	"cmp"
	"slices"

	"siskincove/endpoint"
)

// State is what a pool tells operators of itself.
type State struct {
	Endpoint string `json:"endpoint"`
	Database string `json:"database"`
	Role     string `json:"role"`
	Term     uint64 `json:"term"`
	Log      string `json:"log"`
	Applied  string `json:"applied"`
	// Answers tells whether the endpoint answered the last status question.
	Answers bool `json:"answers"`
	// Established tells whether a primary is usable: a majority holds a record of its term.
	Established bool `json:"established"`
	// Confirmable tells whether enough replicas follow a primary for commits to be confirmed.
	Confirmable bool `json:"confirmable"`
	// Age is the greatest age of the endpoint's data in milliseconds, -1 when unknown.
	Age      int64 `json:"age"`
	Open     int   `json:"open"`
	Slots    int   `json:"slots"`
	Waiting  int   `json:"waiting"`
	Inflight int   `json:"inflight"`
}

// State returns what the pool tells operators.
func (p *Pool) State() State {
	k := p.known()
	term := endpoint.LogTerm(k.status.Fenced)
	established, confirmable := p.confirmer.serves(term), p.confirmer.confirmable(term)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := State{
		Endpoint: p.name, Database: p.options.Database.Name, Role: k.status.Role.String(),
		Term: uint64(k.status.Fenced), Log: k.status.Log.String(), Applied: k.status.Applied.String(), Answers: k.silence == 0,
		Established: established, Confirmable: confirmable, Age: -1, Open: p.open, Slots: p.slots.Used(),
		Waiting: p.slots.Waiting(), Inflight: p.inflight,
	}
	if age, ok := p.history.Age(k.status.Applied, p.now()); ok {
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
