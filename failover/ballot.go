package failover

import (
	"slices"

	"siskincove/endpoint"
	"siskincove/pool"
	"siskincove/session"
)

// Ballot is the state machine of one election of a primary, under a term that no other ballot uses. It is an immutable
// value.
//
// A majority is fenced first, so that no write can be acknowledged under a lower term any more. Every acknowledged write
// is in the logs of a majority, and two majorities share a member, so the highest log among the fenced members holds all
// of them.
type Ballot struct {
	term      endpoint.FencedTerm
	members   []string
	excluded  []string
	phase     Phase
	promises  []Reply
	primary   string
	followers []string
}

// NewBallot returns a ballot over all members of a group. Excluded members are not fenced and so can't be elected: an
// isolated primary, for example, would be elected again for its longer log.
func NewBallot(term endpoint.FencedTerm, members, excluded []string) Ballot {
	return Ballot{term: term, members: members, excluded: excluded}
}

// Term returns the ballot's term.
func (b Ballot) Term() endpoint.FencedTerm { return b.term }

// Phase returns the ballot's current phase.
func (b Ballot) Phase() Phase { return b.phase }

// Primary returns the endpoint elected to be primary, or "" while none is.
func (b Ballot) Primary() string { return b.primary }

// Start returns the fence commands that begin the ballot.
func (b Ballot) Start() []Action {
	var out []Action
	for _, m := range b.members {
		if !slices.Contains(b.excluded, m) {
			out = append(out, Action{Command: pool.CommandFence, Endpoint: m})
		}
	}
	return out
}

// Apply returns the ballot after an event and the commands to send next.
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
		return b.recordPromise(reply)
	case Promoting:
		return b.recordPromotion(reply)
	default:
		return b.recordFollower(reply), nil
	}
}

func (b Ballot) fail() Ballot {
	b.phase = Failed
	return b
}

// expire fails the ballot when a phase times out. It never elects another endpoint under the same term, since the
// promotion of the first may still take effect.
func (b Ballot) expire() Ballot {
	return b.fail()
}

// recordPromise counts an endpoint that has promised the term. Only this ballot uses the term, so a status that shows the
// promise counts even if the answer to the fence command was lost.
func (b Ballot) recordPromise(r Reply) (Ballot, []Action) {
	if r.Status.Fenced != b.term || b.hasPromise(r.Endpoint) {
		return b, nil
	}
	b.promises = append(slices.Clone(b.promises), r)
	if len(b.promises) < session.Majority(len(b.members)) {
		return b, nil
	}
	b.primary = b.highestLog()
	b.phase = Promoting
	return b, []Action{{Command: pool.CommandPromote, Endpoint: b.primary}}
}

func (b Ballot) hasPromise(name string) bool {
	return slices.ContainsFunc(b.promises, func(r Reply) bool { return r.Endpoint == name })
}

// highestLog returns the fenced endpoint with the highest log, compared by the term of the last record, then its offset.
func (b Ballot) highestLog() string {
	best := b.promises[0]
	for _, r := range b.promises[1:] {
		if r.Status.Log.Compare(best.Status.Log) > 0 {
			best = r
		}
	}
	return best.Endpoint
}

func (b Ballot) recordPromotion(r Reply) (Ballot, []Action) {
	if r.Endpoint != b.primary || !r.Status.Leads() || r.Status.Fenced != b.term {
		return b, nil
	}
	b.phase = Following
	var out []Action
	for _, m := range b.members {
		if m != b.primary {
			out = append(out, Action{Command: pool.CommandFollow, Endpoint: m, Primary: b.primary})
		}
	}
	return b, out
}

func (b Ballot) recordFollower(r Reply) Ballot {
	ready := r.Status.Role == endpoint.Replica && r.Status.Fenced == b.term
	if r.Endpoint == b.primary || !ready || slices.Contains(b.followers, r.Endpoint) {
		return b
	}
	b.followers = append(slices.Clone(b.followers), r.Endpoint)
	if len(b.followers)+1 >= session.Majority(len(b.members)) {
		b.phase = Done
	}
	return b
}
