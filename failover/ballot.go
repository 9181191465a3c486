package failover

import (
	"slices"

	"siskincove/endpoint"
	"siskincove/pool"
	"siskincove/session"
)

// Ballot is one attempt to make a primary under a term that no other ballot uses; it is an immutable value.
//
// A majority is fenced first, so that no lower term can gather another acknowledgement; the highest log among the
// fenced holds every acknowledged write, since each of these stands in a majority and two majorities share a member.
type Ballot struct {
	term     endpoint.FencedTerm
	members  []string
	excluded []string
	phase    Phase
	promised []Reply
	leader   string
	follow   []string
}

// NewBallot returns a ballot over all members of a group; excluded ones are asked for no promise, as when a primary
// is cut off from its group and would be chosen again for its longer log.
func NewBallot(term endpoint.FencedTerm, members, excluded []string) Ballot {
	return Ballot{term: term, members: members, excluded: excluded}
}

// Term returns the ballot's term.
func (b Ballot) Term() endpoint.FencedTerm { return b.term }

// Phase returns how far the ballot has come.
func (b Ballot) Phase() Phase { return b.phase }

// Leader returns the endpoint chosen to be primary, empty before that.
func (b Ballot) Leader() string { return b.leader }

// Start returns the first orders.
func (b Ballot) Start() []Action {
	var out []Action
	for _, m := range b.members {
		if !slices.Contains(b.excluded, m) {
			out = append(out, Action{Order: pool.OrderFence, Endpoint: m})
		}
	}
	return out
}

// Take returns the ballot after an event, and the orders that follow from it.
func (b Ballot) Apply(e Event) (Ballot, []Action) {
	if b.phase == Done || b.phase == Failed {
		return b, nil
	}
	reply, ok := e.(Reply)
	if !ok {
		return b.expire(), nil
	}
	if reply.Status.Fenced > b.term {
		return b.fail(), nil
	}
	switch b.phase {
	case Fencing:
		return b.fenced(reply)
	case Promoting:
		return b.led(reply)
	default:
		return b.followed(reply), nil
	}
}

func (b Ballot) fail() Ballot {
	b.phase = Failed
	return b
}

// expire ends a phase that lasted too long. The chosen endpoint is never exchanged for another under the same term,
// since its promotion may still take effect.
func (b Ballot) expire() Ballot {
	return b.fail()
}

// fenced counts a promise; the term is this ballot's alone, so a promise of it is an answer even if another got lost.
func (b Ballot) fenced(r Reply) (Ballot, []Action) {
	if r.Status.Fenced != b.term || b.hasPromise(r.Endpoint) {
		return b, nil
	}
	b.promised = append(slices.Clone(b.promised), r)
	if len(b.promised) < session.Majority(len(b.members)) {
		return b, nil
	}
	b.leader = b.highest()
	b.phase = Promoting
	return b, []Action{{Order: pool.OrderPromote, Endpoint: b.leader}}
}

func (b Ballot) hasPromise(name string) bool {
	return slices.ContainsFunc(b.promised, func(r Reply) bool { return r.Endpoint == name })
}

// highest returns the promised endpoint whose log, by the term of its last record and then its position, is highest.
func (b Ballot) highest() string {
	best := b.promised[0]
	for _, r := range b.promised[1:] {
		if r.Status.Log.Compare(best.Status.Log) > 0 {
			best = r
		}
	}
	return best.Endpoint
}

func (b Ballot) led(r Reply) (Ballot, []Action) {
	if r.Endpoint != b.leader || !r.Status.Leads() || r.Status.Fenced != b.term {
		return b, nil
	}
	b.phase = Following
	var out []Action
	for _, m := range b.members {
		if m != b.leader {
			out = append(out, Action{Order: pool.OrderFollow, Endpoint: m, Leader: b.leader})
		}
	}
	return b, out
}

func (b Ballot) followed(r Reply) Ballot {
	ready := r.Status.Role == endpoint.Replica && r.Status.Fenced == b.term
	if r.Endpoint == b.leader || !ready || slices.Contains(b.follow, r.Endpoint) {
		return b
	}
	b.follow = append(slices.Clone(b.follow), r.Endpoint)
	if len(b.follow)+1 >= session.Majority(len(b.members)) {
		b.phase = Done
	}
	return b
}
