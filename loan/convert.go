package loan

import (
	"time"

	"siskincove/limit"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/statement"
)

// toSteps returns the wire message for steps that must finish within the remaining time and are on time within aim, the first guard
// of them before the others.
func toSteps(steps []statement.Step, guard int, remaining, aim time.Duration, class limit.Class) *wire.Steps {
	out := &wire.Steps{
		Remaining: peer.Micros(remaining), Aim: aim.Microseconds(), Class: class.Name, Weight: uint32(max(class.Weight, 0)),
		Guard: uint32(guard),
	}
	for _, s := range steps {
		out.Steps = append(out.Steps, &wire.Step{
			Kind: uint32(s.Kind), Id: s.ID, Name: []byte(s.Name), Value: []byte(s.Value), Writes: s.Writes, Text: []byte(s.Text),
			After: peer.ToPosition(s.After),
		})
	}
	return out
}

func fromStep(m *wire.Step) statement.Step {
	return statement.Step{
		Request: statement.Request{
			ID: m.GetId(), Kind: statement.Kind(m.GetKind()), Name: string(m.GetName()), Value: string(m.GetValue()),
			Writes: m.GetWrites(), Text: string(m.GetText()),
		},
		After: peer.FromPosition(m.GetAfter()),
	}
}

func toResult(a statement.Answer) *wire.Result {
	out := &wire.Result{Receipt: a.Receipt, State: uint32(a.State), Position: peer.ToPosition(a.Position)}
	for _, row := range a.Rows {
		out.Rows = append(out.Rows, []byte(row))
	}
	if a.Failure != nil {
		out.Failure = peer.ToFailure(a.Failure)
	}
	return out
}

func fromResult(m *wire.Result) statement.Answer {
	out := statement.Answer{
		Receipt: m.GetReceipt(), State: statement.State(m.GetState()), Position: peer.FromPosition(m.GetPosition()),
		Failure: peer.FromFailure(m.GetFailure()),
	}
	for _, row := range m.GetRows() {
		out.Rows = append(out.Rows, string(row))
	}
	return out
}

func fromResults(m *wire.Results) []statement.Answer {
	out := make([]statement.Answer, 0, len(m.GetResults()))
	for _, r := range m.GetResults() {
		out = append(out, fromResult(r))
	}
	return out
}
