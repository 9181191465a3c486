package session

import (
	"time"

	"siskincove/endpoint"
)

// Requirement is the freshness that a read requires of the endpoint that serves it.
type Requirement struct {
	// Position must have been applied.
	Position endpoint.Position
	// MaxAge is the greatest accepted age of the data; 0 means no limit.
	MaxAge time.Duration
}

// Freshness is the result of checking an endpoint against a requirement.
type Freshness uint8

const (
	// Fresh endpoints may serve the read.
	Fresh Freshness = iota
	// BehindToken endpoints have not applied the required position.
	BehindToken
	// TooOld endpoints hold data that exceeds the accepted age or whose age is unknown.
	TooOld
)

// String returns the freshness as it appears in logs.
func (f Freshness) String() string {
	switch f {
	case Fresh:
		return "fresh"
	case BehindToken:
		return "behind token"
	default:
		return "too old"
	}
}

// Check reports whether an endpoint that has applied a position meets the requirement at time now.
func Check(required Requirement, applied endpoint.Position, history History, now time.Time) Freshness {
	if !applied.Covers(required.Position) {
		return BehindToken
	}
	if required.MaxAge <= 0 {
		return Fresh
	}
	age, known := history.Age(applied, now)
	if !known || age > required.MaxAge {
		return TooOld
	}
	return Fresh
}
