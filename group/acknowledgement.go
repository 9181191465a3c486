package group

import (
	"slices"
	"time"

	"siskincove/endpoint"
)

// Acknowledgement is the position that an endpoint reported when it acknowledged a write, and when.
type Acknowledgement struct {
	Position endpoint.Position
	At       time.Time
}

const (
	// maxAcknowledgementAge is the age from which an acknowledgement no longer counts.
	maxAcknowledgementAge = time.Minute
	// maxAcknowledgements bounds the acknowledgements that a view keeps. Positions mostly rise, so there is mostly one.
	maxAcknowledgements = 8
)

// WithAcknowledged returns the view after an endpoint acknowledged a write and reported its log position.
func (v View) WithAcknowledged(position endpoint.Position, at time.Time) View {
	if position == (endpoint.Position{}) {
		return v
	}
	next := make([]Acknowledgement, 0, len(v.acknowledgements)+1)
	for _, known := range v.acknowledgements {
		switch {
		case known.Position.Covers(position) && !known.At.Before(at):
			return v
		case !position.Covers(known.Position) || known.At.After(at):
			next = append(next, known)
		}
	}
	next = append(next, Acknowledgement{Position: position, At: at})
	slices.SortFunc(next, func(a, b Acknowledgement) int { return b.Position.Compare(a.Position) })
	v.acknowledgements = boundAcknowledgements(next)
	return v
}

// boundAcknowledgements drops the acknowledgements that no longer count, and those beyond the bound. They are ordered by position, the
// highest first, and so by time, the oldest first. A higher position takes the time of one that is dropped for it, so that the
// highest position that counts is never too low.
func boundAcknowledgements(in []Acknowledgement) []Acknowledgement {
	newest := in[len(in)-1].At
	out := slices.DeleteFunc(in, func(a Acknowledgement) bool { return newest.Sub(a.At) >= maxAcknowledgementAge })
	if len(out) <= maxAcknowledgements {
		return out
	}
	out = out[:maxAcknowledgements]
	out[maxAcknowledgements-1].At = newest
	return out
}

// HighestAcknowledgement returns the acknowledgement with the highest position of about the last minute, zero if none is known.
func (v View) HighestAcknowledgement(now time.Time) Acknowledgement {
	for _, a := range v.acknowledgements {
		if now.Sub(a.At) < maxAcknowledgementAge {
			return a
		}
	}
	return Acknowledgement{}
}

// Acknowledged returns the highest position at which an endpoint acknowledged a write in about the last minute, zero if none is known.
// The endpoint may have reported the end of its log, so the position may be past the write, at one that is not acknowledged.
func (v View) Acknowledged(now time.Time) endpoint.Position {
	return v.HighestAcknowledgement(now).Position
}
