package succession

import (
	"cmp"
	"slices"

	"siskincove/endpoint"
)

// Phase is how far a succession has come.
type Phase uint8

const (
	// Holding waits for the replicas to stop receiving.
	Holding Phase = iota
	// Confirming asks the held replicas once more, since another succession may have held or released some meanwhile.
	Confirming
	// Demoting makes the lost primary, which answers, a replica: until another is promoted it could acknowledge commits
	// with a replica that joins.
	Demoting
	// Promoting waits for the chosen endpoint to lead.
	Promoting
	// Done means that the chosen endpoint leads.
	Done
	// Stopped means that there will be no promotion.
	Stopped
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"holding", "confirming", "demoting", "promoting", "done", "stopped"}[p]
}

// Succession is one attempt to replace a primary; it is an immutable value.
//
// Every acknowledged commit is in the logs of as many replicas as the group acknowledges by. Once so many replicas are
// held that fewer than that remain, no further commit can be acknowledged, and the longest held log has all that were.
// Only then is a promotion ordered, and only for the owner of that log. An order without an answer may take effect
// later, so the same one is repeated, and nothing is released, until it is known what became of it.
type Succession struct {
	plan  Plan
	phase Phase
	why   string
	held  []held
	// confirmed are the held replicas that were found held once all were.
	confirmed []string
	target    string
	// ordered is set once the platform has taken the order, and unknown while one has had no answer.
	ordered bool
	unknown bool
}

// held is a replica that receives no more, and its log.
type held struct {
	replica Replica
	log     endpoint.Position
}

// New returns a succession that has done nothing yet.
func New(p Plan) Succession { return Succession{plan: p} }

// Phase returns how far the succession has come.
func (s Succession) Phase() Phase { return s.phase }

// Target returns the endpoint to be promoted, empty before it is chosen.
func (s Succession) Target() string { return s.target }

// Why returns the reason for which the succession stopped.
func (s Succession) StopReason() string { return s.why }

// Start returns the first orders.
func (s Succession) Start() []Action {
	out := make([]Action, 0, len(s.plan.Replicas))
	for _, r := range s.plan.Replicas {
		out = append(out, Action{Command: Hold, Endpoint: r.Name})
	}
	return out
}

// Take returns the succession after an event, and the orders that follow from it.
func (s Succession) Handle(e Event) (Succession, []Action) {
	if s.phase == Done || s.phase == Stopped {
		return s, nil
	}
	switch e := e.(type) {
	case Reply:
		return s.reply(e)
	case PromotionResult:
		return s.taken(e)
	case Timeout:
		return s.timeout()
	default:
		return s, nil
	}
}

func (s Succession) reply(r Reply) (Succession, []Action) {
	switch {
	case s.phase == Demoting && r.Endpoint == s.plan.OldPrimary:
		return s.demoted(r)
	case r.Standing.Role == endpoint.Primary:
		return s.led(r)
	case s.phase == Holding && !s.plan.Contested && r.Standing.Held != 0 && r.Standing.Held != s.plan.Term:
		// Nothing was ordered yet, and no other succession relies on the holds of this one.
		return s.stop("another succession holds " + r.Endpoint)
	case r.Standing.Held > s.plan.Term:
		return s.superseded("another succession holds " + r.Endpoint)
	case s.phase == Holding && r.Standing.Held == s.plan.Term:
		return s.hold(r)
	case s.phase == Confirming && r.Confirms:
		return s.confirm(r)
	default:
		return s, nil
	}
}

// led decides on an endpoint that leads: the target's lead is the end, another's under a newer term makes this
// succession needless.
func (s Succession) led(r Reply) (Succession, []Action) {
	switch {
	case r.Endpoint == s.target:
		s.phase = Done
		return s, s.release()
	case r.Endpoint == s.plan.OldPrimary || s.phase == Promoting:
		return s, nil
	default:
		return s.stop(r.Endpoint + " leads")
	}
}

func (s Succession) hold(r Reply) (Succession, []Action) {
	for _, h := range s.held {
		if h.replica.Name == r.Endpoint {
			return s, nil
		}
	}
	at := slices.IndexFunc(s.plan.Replicas, func(c Replica) bool { return c.Name == r.Endpoint })
	if at < 0 {
		return s, nil
	}
	s.held = append(slices.Clone(s.held), held{replica: s.plan.Replicas[at], log: r.Standing.Log})
	missing := len(s.plan.Replicas) - len(s.held)
	if missing >= max(s.plan.Acknowledge, 1) {
		return s, nil
	}
	s.phase = Confirming
	out := make([]Action, 0, len(s.held))
	for _, h := range s.held {
		out = append(out, Action{Command: Confirm, Endpoint: h.replica.Name})
	}
	return s, out
}

// confirm counts the replicas that are held as before; one that is not may have received and acknowledged since.
func (s Succession) confirm(r Reply) (Succession, []Action) {
	at := slices.IndexFunc(s.held, func(h held) bool { return h.replica.Name == r.Endpoint })
	switch {
	case at < 0 || slices.Contains(s.confirmed, r.Endpoint):
		return s, nil
	case r.Standing.Held != s.plan.Term || r.Standing.Log != s.held[at].log:
		return s.superseded("another succession released " + r.Endpoint)
	}
	s.confirmed = append(slices.Clone(s.confirmed), r.Endpoint)
	switch {
	case len(s.confirmed) < len(s.held):
		return s, nil
	case !s.plan.Answers:
		return s.choose()
	}
	s.phase = Demoting
	return s, []Action{{Command: Demote, Endpoint: s.plan.OldPrimary}}
}

// demoted goes on once the lost primary is a replica.
func (s Succession) demoted(r Reply) (Succession, []Action) {
	if r.Standing.Role == endpoint.Primary {
		return s, nil
	}
	return s.choose()
}

// choose orders the promotion of the longest held log; among equal ones those that stay go first.
func (s Succession) choose() (Succession, []Action) {
	best := slices.MinFunc(s.held, func(a, b held) int {
		return cmp.Or(b.log.Compare(a.log), leaves(a)-leaves(b), cmp.Compare(a.replica.Name, b.replica.Name))
	})
	if !s.plan.Floor.reached(best.log) {
		return s.stop("log of " + best.replica.Name + " may lack acknowledged commits")
	}
	s.target, s.phase = best.replica.Name, Promoting
	return s, []Action{{Command: Promote, Endpoint: s.target}}
}

func leaves(h held) int {
	if h.replica.Leaving {
		return 1
	}
	return 0
}

// taken decides on what the platform made of the order.
func (s Succession) taken(o PromotionResult) (Succession, []Action) {
	if s.phase != Promoting {
		return s, nil
	}
	switch o.Outcome {
	case Accepted:
		s.ordered, s.unknown = true, false
		return s, nil
	case Refused:
		if s.unknown {
			// The endpoint may just not run at this moment, so an earlier try may still take effect.
			return s.superseded("order was refused after one without an answer")
		}
		return s.stop("order was refused")
	case Unknown:
		s.unknown = true
	}
	if s.ordered {
		return s, nil
	}
	return s, []Action{{Command: Promote, Endpoint: s.target}}
}

// timeout ends a phase that lasted too long. While an order has had no answer, the holds stay, for the next succession
// with a higher token to take over.
func (s Succession) timeout() (Succession, []Action) {
	if s.phase < Promoting {
		return s.stop("too few replicas answered")
	}
	if s.unknown || s.ordered {
		return s.superseded("endpoint does not lead in time")
	}
	return s.stop("platform took no order")
}

// stop ends without a promotion and releases the holds, unless an order of another succession relies on them.
func (s Succession) stop(why string) (Succession, []Action) {
	if s.plan.Contested {
		return s.superseded(why)
	}
	s.phase, s.why = Stopped, why
	return s, s.release()
}

// release returns the orders that let the replicas receive again. A promotion releases none but its target, and while
// the others are held no commit of the new primary can be acknowledged.
func (s Succession) release() []Action {
	out := make([]Action, 0, len(s.plan.Replicas))
	for _, r := range s.plan.Replicas {
		if r.Name != s.target || s.phase == Stopped {
			out = append(out, Action{Command: Resume, Endpoint: r.Name})
		}
	}
	return out
}

// superseded ends without releasing anything.
func (s Succession) superseded(why string) (Succession, []Action) {
	s.phase, s.why = Stopped, why
	return s, nil
}
