package session

import (
	"time"

	"siskincove/endpoint"
)

// Need is what a read asks of the endpoint that serves it.
type Requirement struct {
	// Token is the position that must have been applied.
	Position endpoint.Position
	// Age is the greatest accepted age of the data; 0 leaves it unbounded.
	MaxAge time.Duration
}

// Freshness is whether an endpoint meets a need.
type Freshness uint8

const (
	// Fresh endpoints may serve.
	Fresh Freshness = iota
	// BehindToken endpoints have not applied the session's token.
	BehindToken
	// TooOld endpoints hold data beyond the accepted age, or of unknown age.
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

// Check decides whether an endpoint that has applied a position meets the need.
func Check(need Requirement, applied endpoint.Position, history History, now time.Time) Freshness {
	if !applied.Covers(need.Position) {
		return BehindToken
	}
	if need.MaxAge <= 0 {
		return Fresh
	}
	age, known := history.Age(applied, now)
	if !known || age > need.MaxAge {
		return TooOld
	}
	return Fresh
}
