package peer

import (
	"time"

	"siskincove/endpoint"
	"siskincove/peer/wire"
	"siskincove/verdict"
)

// ToPosition converts a position to its message; the zero position becomes nil.
func ToPosition(p endpoint.Position) *wire.Position {
	if p == (endpoint.Position{}) {
		return nil
	}
	return &wire.Position{Term: uint64(p.Term), Offset: p.Offset}
}

// FromPosition converts a position message; nil becomes the zero position.
func FromPosition(m *wire.Position) endpoint.Position {
	return endpoint.Position{Term: endpoint.LogTerm(m.GetTerm()), Offset: m.GetOffset()}
}

// ToStatus converts a status to its message.
func ToStatus(s endpoint.Status) *wire.Status {
	return &wire.Status{
		Role:      uint32(s.Role),
		Fenced:    uint64(s.Fenced),
		Log:       ToPosition(s.Log),
		Applied:   ToPosition(s.Applied),
		Receiving: s.Receiving,
	}
}

// FromStatus converts a status message.
func FromStatus(m *wire.Status) endpoint.Status {
	return endpoint.Status{
		Role:      endpoint.Role(m.GetRole()),
		Fenced:    endpoint.FencedTerm(m.GetFenced()),
		Log:       FromPosition(m.GetLog()),
		Applied:   FromPosition(m.GetApplied()),
		Receiving: m.GetReceiving(),
	}
}

// ToFailure converts an error to its message, nil to nil.
func ToFailure(err error) *wire.Failure {
	if err == nil {
		return nil
	}
	e := verdict.From(err)
	return &wire.Failure{
		Verdict: uint32(e.Verdict),
		Reason:  string(e.Reason),
		Message: e.Message,
		After:   Micros(e.RetryAfter),
	}
}

// FromFailure converts a failure message, nil to nil. An unknown verdict becomes MayHaveRun.
func FromFailure(m *wire.Failure) *verdict.Error {
	if m == nil {
		return nil
	}
	v := verdict.Verdict(m.GetVerdict())
	if v != verdict.NotRun && v != verdict.Ran {
		v = verdict.MayHaveRun
	}
	e := verdict.New(v, verdict.Reason(m.GetReason()), "%s", m.GetMessage())
	return e.WithRetryAfter(Duration(m.GetAfter()))
}

// Micros returns d in whole microseconds; a negative d gives 0.
func Micros(d time.Duration) uint64 { return uint64(max(d.Microseconds(), 0)) }

// Duration converts microseconds to a duration, capped at one day.
func Duration(micros uint64) time.Duration {
	const maxMicros = uint64(24 * time.Hour / time.Microsecond)
	return time.Duration(min(micros, maxMicros)) * time.Microsecond
}
