package succession

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"siskincove/endpoint"
)

const planTerm = 1025

func plan() Plan {
	return Plan{Term: planTerm, Fence: 7, OldPrimary: "p", Replicas: []Replica{{Name: "a"}, {Name: "b"}}, Acknowledge: 1}
}

func isHeld(name string, log uint64, term endpoint.FencedTerm) Reply {
	return Reply{Endpoint: name, Standing: endpoint.Standing{Role: endpoint.Replica, Term: 1, Log: position(log), Held: term}}
}

func confirms(name string, log uint64) Reply {
	r := isHeld(name, log, planTerm)
	r.Confirms = true
	return r
}

func leads(name string) Reply {
	return Reply{Endpoint: name, Standing: endpoint.Standing{Role: endpoint.Primary, Term: 2}}
}

func TestSuccession(t *testing.T) {
	taken := []Event{isHeld("a", 5, planTerm), isHeld("b", 9, planTerm), confirms("a", 5), confirms("b", 9)}
	after := func(more ...Event) []Event { return append(append([]Event(nil), taken...), more...) }
	promote := Action{Command: Promote, Endpoint: "b"}
	confirm := []Action{{Command: Confirm, Endpoint: "a"}, {Command: Confirm, Endpoint: "b"}}
	resume := []Action{{Command: Resume, Endpoint: "a"}, {Command: Resume, Endpoint: "b"}}
	ordered := append(append([]Action(nil), confirm...), promote)
	tests := map[string]struct {
		plan    Plan
		events  []Event
		phase   Phase
		actions []Action
	}{
		"waits for every replica": {plan: plan(), events: []Event{isHeld("a", 5, planTerm)}, phase: Holding},
		"asks again":              {plan: plan(), events: taken[:2], phase: Confirming, actions: confirm},
		"promotes the longest":    {plan: plan(), events: taken, phase: Promoting, actions: ordered},
		// Found on trouble-3: the other replica stayed held, and no commit of the new primary could be acknowledged.
		"releases the others when it leads": {
			plan: plan(), events: after(PromotionResult{Outcome: Accepted}, leads("b")), phase: Done,
			actions: append(append([]Action(nil), ordered...), Action{Command: Resume, Endpoint: "a"}),
		},
		"repeats an order without an answer": {plan: plan(), events: after(PromotionResult{Outcome: Unknown}), phase: Promoting, actions: append(append([]Action(nil), ordered...), promote)},
		"releases after a refused order":     {plan: plan(), events: after(PromotionResult{Outcome: Refused}), phase: Stopped, actions: append(append([]Action(nil), ordered...), resume...)},
		"keeps holds while an order may still take effect": {
			plan: plan(), events: after(PromotionResult{Outcome: Unknown}, PromotionResult{Outcome: Refused}), phase: Stopped,
			actions: append(append([]Action(nil), ordered...), promote),
		},
		"keeps holds when the promoted one does not lead": {plan: plan(), events: after(PromotionResult{Outcome: Accepted}, Timeout{}), phase: Stopped, actions: ordered},
		"another holds":       {plan: plan(), events: []Event{isHeld("a", 5, 99)}, phase: Stopped, actions: resume},
		"another holds later": {plan: plan(), events: append(append([]Event(nil), taken[:2]...), isHeld("a", 5, planTerm+1)), phase: Stopped, actions: confirm},
		"released meanwhile":  {plan: plan(), events: append(append([]Event(nil), taken[:2]...), Reply{Endpoint: "a", Confirms: true, Standing: endpoint.Standing{Role: endpoint.Replica, Term: 1, Log: position(6)}}), phase: Stopped, actions: confirm},
		"another leads":       {plan: plan(), events: []Event{leads("a")}, phase: Stopped, actions: resume},
		"too few answer":      {plan: plan(), events: []Event{isHeld("a", 5, planTerm), Timeout{}}, phase: Stopped, actions: resume},
		"contested holds are never released": {
			plan:   Plan{Term: planTerm, OldPrimary: "p", Replicas: plan().Replicas, Acknowledge: 1, Contested: true},
			events: []Event{Timeout{}}, phase: Stopped,
		},
		"equal logs prefer one that stays": {
			plan:   Plan{Term: planTerm, OldPrimary: "p", Replicas: []Replica{{Name: "a", Leaving: true}, {Name: "b"}}, Acknowledge: 1},
			events: []Event{isHeld("a", 9, planTerm), isHeld("b", 9, planTerm), confirms("a", 9), confirms("b", 9)}, phase: Promoting, actions: ordered,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(test.plan)
			var actions []Action
			for _, e := range test.events {
				var more []Action
				s, more = s.Handle(e)
				actions = append(actions, more...)
			}
			if s.Phase() != test.phase {
				t.Errorf("phase %s", s.Phase())
			}
			if diff := cmp.Diff(test.actions, actions); diff != "" {
				t.Error(diff)
			}
		})
	}
}
