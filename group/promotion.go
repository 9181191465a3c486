package group

import (
	"time"

	"siskincove/endpoint"
)

// Promotion is a promotion that a coordinator has requested from the platform. It may take effect until it has ended.
type Promotion struct {
	// Fence is the fencing token of the request. A promotion with a higher one replaces those with lower ones.
	Fence uint64
	// Term is the term under which replicas are held for the promotion, and Newest the newest term that was known when it was
	// requested.
	Term   endpoint.FencedTerm
	Newest endpoint.FencedTerm
	// Replaced is the primary to be replaced, empty when none is known, and Target the endpoint to be promoted.
	Replaced string
	Target   string
	// Ended is set once the promotion has taken effect or can't do so any more.
	Ended bool
	// At is when the promotion was requested, or when it ended.
	At time.Time
}

const (
	// MaxPromotionAge is the age at which a promotion without a known end counts as ended. The platform carries requests out
	// seconds later at most.
	MaxPromotionAge = 15 * time.Second
	// endNoticeAge is the age up to which the end of a promotion is worth telling.
	endNoticeAge = 5 * time.Second
)

// Outstanding reports whether the promotion may still take effect.
func (p Promotion) Outstanding(now time.Time) bool {
	return p.Fence != 0 && !p.Ended && now.Sub(p.At) < MaxPromotionAge
}

// WorthTelling reports whether other instances may still need to know of the promotion or its end.
func (p Promotion) WorthTelling(now time.Time) bool {
	return p.Outstanding(now) || p.Ended && now.Sub(p.At) < endNoticeAge
}

// supersedes reports whether the promotion, or its end, is news to one who knows of another.
func (p Promotion) supersedes(known Promotion) bool {
	return p.Fence > known.Fence || p.Fence == known.Fence && p.Ended && !known.Ended
}

// WithPromotion returns the view after a promotion was requested or has ended. One with a lower fencing token than a known one
// changes nothing.
func (v View) WithPromotion(p Promotion) View {
	if p.supersedes(v.promotion) {
		v.promotion = p
	}
	return v
}

// Promotion returns the promotion with the highest fencing token, zero if none is known.
func (v View) Promotion() Promotion { return v.promotion }

// IsBeingReplaced reports whether the promotion of another endpoint may be outstanding while an endpoint may lead. A commit that
// the endpoint acknowledges then may not be in the promoted log. If no primary was known at the request, any other endpoint may
// be the one that is replaced, such as a demoted primary after a restart.
func (v View) IsBeingReplaced(name string, now time.Time) bool {
	p := v.promotion
	return (p.Replaced == name || p.Replaced == "") && p.Target != name && p.Outstanding(now)
}
