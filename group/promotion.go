package group

import (
	"cmp"
	"slices"
	"time"

	"siskincove/endpoint"
)

// Promotion is a promotion that a coordinator has requested from the platform. It may take effect until it has ended.
type Promotion struct {
	// Fence is the fencing token of the request.
	Fence uint64
	// Term is the term under which replicas are held for the promotion, and Newest the newest term that was known when it was
	// requested, 0 if none was.
	Term   endpoint.FencedTerm
	Newest endpoint.FencedTerm
	// Replaced is the primary to be replaced, empty when none is known, and Target the endpoint to be promoted.
	Replaced string
	Target   string
	// Ended is set once the promotion has taken effect or can't do so any more, and Settled if that holds for all with lower tokens
	// too, since the platform has seen this one.
	Ended   bool
	Settled bool
	// At is when the promotion was requested, or when it ended.
	At time.Time
}

const (
	// MaxPromotionAge is the age at which a promotion without a known end counts as ended. The platform carries requests out
	// seconds later at most.
	MaxPromotionAge = 15 * time.Second
	// endNoticeAge is the age up to which the end of a promotion is worth telling.
	endNoticeAge = 5 * time.Second
	// maxPromotions bounds the promotions that a view keeps.
	maxPromotions = 8
)

// Outstanding reports whether the promotion may still take effect.
func (p Promotion) Outstanding(now time.Time) bool {
	return p.Fence != 0 && !p.Ended && now.Sub(p.At) < MaxPromotionAge
}

// WorthTelling reports whether other instances may still need to know of the promotion or its end.
func (p Promotion) WorthTelling(now time.Time) bool {
	return p.Outstanding(now) || p.Ended && now.Sub(p.At) < endNoticeAge
}

// progress orders what is told of one promotion: its request, its end, and the end of all before it.
func (p Promotion) progress() int {
	switch {
	case p.Settled:
		return 2
	case p.Ended:
		return 1
	default:
		return 0
	}
}

// WithPromotion returns the view after a promotion was requested or has ended. What is known already, or is about a promotion below a
// settled one, changes nothing.
func (v View) WithPromotion(p Promotion) View {
	next := make([]Promotion, 0, len(v.promotions)+1)
	for _, known := range v.promotions {
		switch {
		case known.Fence > p.Fence && known.Settled || known.Fence == p.Fence && known.progress() >= p.progress():
			return v
		case known.Fence > p.Fence || known.Fence < p.Fence && !p.Settled:
			next = append(next, known)
		}
	}
	next = append(next, p)
	slices.SortFunc(next, func(a, b Promotion) int { return cmp.Compare(b.Fence, a.Fence) })
	v.promotions = trim(next)
	return v
}

// trim keeps maxPromotions promotions. Those that have ended without settling others are dropped before those that may take effect.
func trim(promotions []Promotion) []Promotion {
	if len(promotions) <= maxPromotions {
		return promotions
	}
	for i, p := range slices.Backward(promotions) {
		if p.Ended && !p.Settled {
			return slices.Delete(promotions, i, i+1)
		}
	}
	return promotions[:maxPromotions]
}

// Promotions returns the known promotions, the highest fencing token first.
func (v View) Promotions() []Promotion { return v.promotions }

// OutstandingPromotion returns the promotion with the highest fencing token that may still take effect, and false if there is none.
func (v View) OutstandingPromotion(now time.Time) (Promotion, bool) {
	for _, p := range v.promotions {
		if p.Outstanding(now) {
			return p, true
		}
	}
	return Promotion{}, false
}

// IsOutstanding reports whether the promotion with a fencing token may still take effect.
func (v View) IsOutstanding(fence uint64, now time.Time) bool {
	return slices.ContainsFunc(v.promotions, func(p Promotion) bool { return p.Fence == fence && p.Outstanding(now) })
}

// IsOtherOutstanding reports whether a promotion with another fencing token may still take effect.
func (v View) IsOtherOutstanding(fence uint64, now time.Time) bool {
	return slices.ContainsFunc(v.promotions, func(p Promotion) bool { return p.Fence != fence && p.Outstanding(now) })
}

// Replaces reports whether the promoted log may lack what an endpoint acknowledges under a term, 0 if that is not known. The primary to be
// replaced is known by the term that it leads too, since it may return from a crash under another name. If none was known at the
// request, any endpoint may be the one, such as a demoted primary after a restart.
func (p Promotion) Replaces(name string, term endpoint.LogTerm) bool {
	old := p.Replaced == "" || p.Replaced == name || p.Newest == 0 || uint64(term) <= uint64(p.Newest)
	return old && p.Target != name
}

// IsBeingReplaced reports whether the promotion of another endpoint may be outstanding while an endpoint may lead, unless it has
// proved to lead a newer term than was known at the request.
func (v View) IsBeingReplaced(name string, now time.Time) bool {
	var term endpoint.LogTerm
	if v.lead.Endpoint == name && !v.lead.Claimed {
		term = v.lead.Term
	}
	return v.MayLack(name, term, now)
}

// MayLack reports whether a promotion may be outstanding whose log may lack a commit that an endpoint has acknowledged under a term.
func (v View) MayLack(name string, term endpoint.LogTerm, now time.Time) bool {
	return slices.ContainsFunc(v.promotions, func(p Promotion) bool { return p.Outstanding(now) && p.Replaces(name, term) })
}
