package succession

import (
	"cmp"
	"slices"

	"siskincove/endpoint"
)

// Phase is the progress of a succession.
type Phase uint8

const (
	// Demoting makes the old primary a replica if it still answers. From then on nothing is acknowledged, and its log has every
	// acknowledged commit, whichever endpoints have received them.
	Demoting Phase = iota
	// Holding waits until the replicas have stopped receiving.
	Holding
	// Confirming probes the held replicas again, since another succession may have held or released some of them meanwhile.
	Confirming
	// Promoting waits until the chosen endpoint leads.
	Promoting
	// Reconfirming probes the held replicas again before a promotion request that does not directly follow Confirming. A restart
	// ends a replica's hold, and it may then receive commits that the old primary acknowledges.
	Reconfirming
	// Done means that the chosen endpoint leads.
	Done
	// Stopped means that the succession ended before the chosen endpoint led.
	Stopped
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"demoting", "holding", "confirming", "promoting", "reconfirming", "done", "stopped"}[p]
}

// Succession is one attempt to replace a primary; it is an immutable value.
//
// An old primary that answers is demoted first; a log that reaches the end of its log then has every acknowledged commit. Otherwise
// the replicas tell: every acknowledged commit is in the logs of Plan.Acknowledge of them. Once so many are held that fewer than
// that remain, no further commit can be acknowledged, and the longest held log has all acknowledged ones, unless an endpoint that
// is not counted has received some. The positions that instances have passed on as acknowledged show that. Only a log that has all of them
// is promoted. A request without an answer may take effect later, so no hold is released until its outcome is known. The same request is
// repeated while all holds stand; once one has ended, only a succession with a higher fencing token may follow.
type Succession struct {
	plan       Plan
	phase      Phase
	stopReason string
	// end is the end of the old primary's log after its demotion; it is valid if ended is set.
	end   endpoint.Position
	ended bool
	// acknowledged is the highest position that is known to have been acknowledged, and lacking is set if no held log reaches it.
	acknowledged endpoint.Position
	lacking      bool
	held         []heldReplica
	// confirmed are the held replicas that were probed after all holds had been taken and were still held.
	confirmed []string
	target    string
	// accepted is set once the platform has accepted the promotion, unknown while a request has had no answer, and inFlight while one
	// may still be answered.
	accepted bool
	unknown  bool
	inFlight bool
	// yielding is set once the old primary leads again and the succession is to stop for it.
	yielding bool
}

// heldReplica is a replica that has stopped receiving, and the end of its log.
type heldReplica struct {
	replica Replica
	log     endpoint.Position
}

// New returns a succession for a plan; Start returns its first actions.
func New(p Plan) Succession {
	if p.OldPrimaryAnswers {
		return Succession{plan: p, phase: Demoting}
	}
	return Succession{plan: p, phase: Holding}
}

// Phase returns the succession's current phase.
func (s Succession) Phase() Phase { return s.phase }

// Target returns the endpoint to promote, empty before it is chosen.
func (s Succession) Target() string { return s.target }

// StopReason returns why the succession stopped, empty unless its phase is Stopped.
func (s Succession) StopReason() string { return s.stopReason }

// Lacking reports whether the succession has stopped since no held log has every commit that is known to have been acknowledged.
func (s Succession) Lacking() bool { return s.lacking }

// Start returns the first actions, which demote an old primary that answers or else hold the replicas.
func (s Succession) Start() []Action {
	if s.phase == Demoting {
		return []Action{{Command: Demote, Endpoint: s.plan.OldPrimary}}
	}
	return s.hold()
}

// hold returns the actions that hold the replicas.
func (s Succession) hold() []Action {
	out := make([]Action, 0, len(s.plan.Replicas))
	for _, r := range s.plan.Replicas {
		out = append(out, Action{Command: Hold, Endpoint: r.Name})
	}
	return out
}

// Handle returns the succession after an event, and the resulting actions.
func (s Succession) Handle(e Event) (Succession, []Action) {
	if s.phase == Done || s.phase == Stopped {
		return s, nil
	}
	switch e := e.(type) {
	case Reply:
		return s.handleReply(e)
	case PromotionResult:
		return s.handlePromotionResult(e)
	case Timeout:
		return s.handleTimeout()
	default:
		return s, nil
	}
}

func (s Succession) handleReply(r Reply) (Succession, []Action) {
	switch {
	case s.phase == Demoting && r.Endpoint == s.plan.OldPrimary:
		return s.handleDemoted(r)
	case r.Status.Role == endpoint.Primary:
		return s.handlePrimary(r)
	case s.phase == Holding && !s.plan.Contested && r.Status.Held != 0 && r.Status.Held != s.plan.Term:
		// No promotion was requested yet, and no other succession relies on the holds of this one.
		return s.stop("another succession holds " + r.Endpoint)
	case r.Status.Held > s.plan.Term:
		return s.stopKeepingHolds("another succession holds " + r.Endpoint)
	case s.phase == Holding && r.Status.Held == s.plan.Term:
		return s.recordHold(r)
	case (s.phase == Confirming || s.phase == Reconfirming) && r.Confirms:
		return s.recordConfirmation(r)
	default:
		return s, nil
	}
}

// handlePrimary handles a reply of an endpoint that leads. If it is the target, the succession is done; if it is another
// endpoint than the old primary, the succession is no longer needed.
func (s Succession) handlePrimary(r Reply) (Succession, []Action) {
	switch {
	case r.Endpoint == s.target && s.leadsAnew(r):
		s.phase = Done
		return s, s.release()
	case s.mayYield() && s.plan.isOldPrimary(r):
		return s.yield()
	case r.Endpoint == s.plan.OldPrimary || s.phase >= Promoting:
		return s, nil
	default:
		return s.stop(r.Endpoint + " leads")
	}
}

// leadsAnew reports whether the target leads as it does after the promotion. A demoted primary leads its old term again after a restart,
// while the request for it may be carried out later.
func (s Succession) leadsAnew(r Reply) bool {
	return s.target != s.plan.OldPrimary || s.accepted || r.Status.Term > s.plan.Floor.Term
}

// recordHold counts a held replica, and confirms the holds once no further commit can be acknowledged.
func (s Succession) recordHold(r Reply) (Succession, []Action) {
	for _, h := range s.held {
		if h.replica.Name == r.Endpoint {
			return s, nil
		}
	}
	index := slices.IndexFunc(s.plan.Replicas, func(candidate Replica) bool { return candidate.Name == r.Endpoint })
	if index < 0 {
		return s, nil
	}
	s.held = append(slices.Clone(s.held), heldReplica{replica: s.plan.Replicas[index], log: r.Status.Log})
	missing := len(s.plan.Replicas) - len(s.held)
	if missing >= max(s.plan.Acknowledge, 1) {
		return s, nil
	}
	return s.confirm(Confirming)
}

// confirm enters a phase in which every held replica is probed again.
func (s Succession) confirm(phase Phase) (Succession, []Action) {
	s.phase, s.confirmed = phase, nil
	out := make([]Action, 0, len(s.held))
	for _, h := range s.held {
		out = append(out, Action{Command: Confirm, Endpoint: h.replica.Name})
	}
	return s, out
}

// recordConfirmation counts the replicas that are still held with an unchanged log. Any other may have received and
// acknowledged commits since it was held.
func (s Succession) recordConfirmation(r Reply) (Succession, []Action) {
	at := slices.IndexFunc(s.held, func(h heldReplica) bool { return h.replica.Name == r.Endpoint })
	switch {
	case at < 0 || slices.Contains(s.confirmed, r.Endpoint):
		return s, nil
	case r.Status.Held != s.plan.Term || r.Status.Log != s.held[at].log:
		return s.handleLostHold(r.Endpoint)
	}
	s.confirmed = append(slices.Clone(s.confirmed), r.Endpoint)
	s.acknowledged = s.acknowledged.Max(r.Acknowledged)
	switch {
	case len(s.confirmed) < len(s.held):
		return s, nil
	case s.phase == Confirming:
		return s.choose()
	case s.target == s.plan.OldPrimary || s.holdsAcknowledged(s.longest().log):
		return s.promote()
	default:
		s.lacking = true
		if s.unknown {
			return s.stopKeepingHolds(s.lacks())
		}
		return s.stop(s.lacks())
	}
}

// handleLostHold ends the succession: the chosen log may no longer have all acknowledged commits.
func (s Succession) handleLostHold(replica string) (Succession, []Action) {
	why := "hold of " + replica + " has ended"
	if s.phase == Confirming || s.unknown {
		return s.stopKeepingHolds(why)
	}
	return s.stop(why)
}

// handleDemoted continues once the old primary is a replica. If another endpoint was promoted meanwhile, its log may have been
// rolled back.
func (s Succession) handleDemoted(r Reply) (Succession, []Action) {
	switch {
	case r.Status.Role == endpoint.Primary:
		return s, nil
	case r.Status.Term > s.plan.Floor.Term:
		return s.stop(r.Endpoint + " was replaced meanwhile")
	}
	s.phase, s.end, s.ended = Holding, r.Status.Log, true
	return s, s.hold()
}

// choose requests the promotion of the replica with the longest log, or else of the demoted primary, if that log may lack acknowledged
// commits.
func (s Succession) choose() (Succession, []Action) {
	best := s.longest()
	switch {
	case s.ended && !(s.plan.Unreplicated || best.log.Covers(s.end)), s.ended && !s.holdsAcknowledged(best.log):
		return s.handBack()
	case !s.plan.Floor.reachedBy(best.log) && !s.plan.AcceptLoss:
		return s.stop("log of " + best.replica.Name + " may lack acknowledged commits")
	case !s.holdsAcknowledged(best.log):
		s.lacking = true
		return s.stop(s.lacks())
	}
	s.target = best.replica.Name
	return s.promote()
}

// lacks returns why no log is promoted although the replicas are held.
func (s Succession) lacks() string {
	return "log of " + s.longest().replica.Name + " lacks commits that were acknowledged up to " + s.acknowledged.String()
}

// holdsAcknowledged reports whether a log has every commit that is known to have been acknowledged, as far as that counts.
func (s Succession) holdsAcknowledged(log endpoint.Position) bool {
	return s.plan.AcceptLoss || log.Covers(s.acknowledged)
}

// handBack requests the promotion of the demoted primary, whose log has every acknowledged commit.
func (s Succession) handBack() (Succession, []Action) {
	s.target = s.plan.OldPrimary
	return s.promote()
}

// candidate returns the endpoint that is to be promoted as far as is known.
func (s Succession) candidate() string {
	best := s.longest()
	if !s.ended || s.plan.Unreplicated || best.log.Covers(s.end) {
		return best.replica.Name
	}
	return s.plan.OldPrimary
}

// longest returns the held replica to be promoted.
func (s Succession) longest() heldReplica {
	return slices.MinFunc(s.held, func(a, b heldReplica) int {
		return cmp.Or(b.log.Compare(a.log), leavingOrder(a)-leavingOrder(b), cmp.Compare(a.replica.Name, b.replica.Name))
	})
}

// promote requests the promotion of the chosen replica.
func (s Succession) promote() (Succession, []Action) {
	s.phase, s.inFlight = Promoting, true
	return s, []Action{{Command: Promote, Endpoint: s.target}}
}

func leavingOrder(h heldReplica) int {
	if h.replica.Leaving {
		return 1
	}
	return 0
}

// handlePromotionResult handles the platform's answer to a promotion request.
func (s Succession) handlePromotionResult(result PromotionResult) (Succession, []Action) {
	if s.phase != Promoting {
		return s, nil
	}
	s.inFlight = false
	switch result.Outcome {
	case Accepted:
		s.accepted, s.unknown, s.yielding = true, false, false
		return s, nil
	case Refused:
		if s.unknown {
			// The refusal may be due to an endpoint that is down at this moment; an earlier request may still take effect.
			return s.stopKeepingHolds("promotion was refused after a request without an answer")
		}
		return s.stop("promotion was refused")
	case Unknown:
		s.unknown, s.yielding = true, false
	}
	switch {
	case s.accepted:
		return s, nil
	case s.yielding:
		return s.stop(oldPrimaryBack)
	}
	return s.confirm(Reconfirming)
}

// handleTimeout ends the succession after a phase that took too long. If a promotion may still take effect, the holds
// stay until the next succession takes them over with a higher fencing token.
func (s Succession) handleTimeout() (Succession, []Action) {
	if s.phase < Promoting {
		return s.stop("too few replicas answered")
	}
	if s.mayTakeEffect() {
		return s.stopKeepingHolds("endpoint does not lead in time")
	}
	if s.phase == Reconfirming {
		return s.stop("a held replica does not answer")
	}
	return s.stop("platform accepted no promotion request")
}

// mayTakeEffect reports whether a request may be carried out, now or later.
func (s Succession) mayTakeEffect() bool { return s.inFlight || s.unknown || s.accepted }

// stop ends the succession without a promotion and releases the holds, unless a promotion of another succession may rely
// on them.
func (s Succession) stop(why string) (Succession, []Action) {
	if s.plan.Contested {
		return s.stopKeepingHolds(why)
	}
	s.phase, s.stopReason = Stopped, why
	return s, s.release()
}

// release returns the actions that let the replicas receive again. The target is left out after a promotion, which
// releases its hold. While the other replicas are held, no commit of the new primary can be acknowledged.
func (s Succession) release() []Action {
	out := make([]Action, 0, len(s.plan.Replicas))
	for _, r := range s.plan.Replicas {
		if r.Name != s.target || s.phase == Stopped {
			out = append(out, Action{Command: Resume, Endpoint: r.Name})
		}
	}
	return out
}

// stopKeepingHolds ends the succession and leaves all holds in place.
func (s Succession) stopKeepingHolds(why string) (Succession, []Action) {
	s.phase, s.stopReason = Stopped, why
	return s, nil
}
