package succession

import (
	"fmt"
	"slices"
	"time"

	"siskincove/endpoint"
	"siskincove/group"
)

const (
	// lease is the span within which two instances must not request promotions in turn: the platform's lease-ms.
	lease = 3 * time.Second
	// requestSpan is how long after its announcement the first request of a promotion is answered or given up at the latest.
	requestSpan = maxHoldAge + announceWait + promoteCallTimeout
	// maxOwnTokens bounds the tokens that a turn keeps, the latest ones.
	maxOwnTokens = 16
)

// turn tells whether this instance may request a promotion of a database; it is an immutable value.
//
// The platform carries out late requests as well, in the order of their fencing tokens. If this instance has requested a promotion, and
// another instance one under a higher token, a further request of this one makes the two act in turn, and the platform takes neither for the
// holder. So whichever requested last goes on, as does an instance whose requests can't take effect any more, and the others wait until the
// lease after the last request that they know of.
type turn struct {
	// own are the latest tokens of this instance.
	own []ownToken
	// others are requests of other instances after which the lease has not passed yet.
	others []otherRequest
	// settled is the highest token of another instance that the platform is known to have accepted.
	settled uint64
	// term is the newest term that an endpoint has shown.
	term endpoint.FencedTerm
}

// ownToken is a token of this instance, the term of the holds under it, and its last request that may have an effect, if any.
type ownToken struct {
	fence       uint64
	term        endpoint.FencedTerm
	target      string
	requestedAt time.Time
}

// otherRequest is a request of another instance, or a lower bound of its token, and the end of the lease after it.
type otherRequest struct {
	fence uint64
	until time.Time
}

// WithToken returns the turn after this instance has begun to use a token, with replicas held under a term.
func (t turn) WithToken(fence uint64, term endpoint.FencedTerm) turn {
	own := append(slices.Clone(t.own), ownToken{fence: fence, term: term})
	t.own = own[max(len(own)-maxOwnTokens, 0):]
	return t
}

// WithRequest returns the turn with the last request under a token of this instance that may have an effect; at is zero for none.
func (t turn) WithRequest(fence uint64, target string, at time.Time) turn {
	t.own = slices.Clone(t.own)
	for i, o := range t.own {
		if o.fence == fence {
			t.own[i].target, t.own[i].requestedAt = target, at
		}
	}
	return t
}

// WithRefusal returns the turn after the platform has refused a token, since it has accepted a higher one.
func (t turn) WithRefusal(fence uint64, now time.Time) turn {
	return t.withOther(fence+1, now.Add(lease), now)
}

// WithPromotions returns the turn with the promotions that instances have told of.
func (t turn) WithPromotions(promotions []group.Promotion, now time.Time) turn {
	for _, p := range promotions {
		if t.isOwn(p.Fence) {
			continue
		}
		until := p.At.Add(lease)
		if p.Settled {
			t.settled = max(t.settled, p.Fence)
		} else {
			until = until.Add(requestSpan)
		}
		t = t.withOther(p.Fence, until, now)
	}
	return t
}

// WithSurvey returns the turn after a probe of the endpoints. Holds that this instance has not taken, and an endpoint that leads under a newer
// term without being a target of this instance, show that another one acts, also if it has told nobody.
func (t turn) WithSurvey(results []ProbeResult, holds []observedHold, now time.Time) turn {
	term, last := t.term, t.last(now)
	for _, r := range results {
		if r.Status == nil {
			continue
		}
		newer := t.term != 0 && r.Status.Term > t.term && r.Status.Role == endpoint.Primary
		if newer && !slices.ContainsFunc(t.own, func(o ownToken) bool { return o.target == r.Endpoint }) {
			t = t.withOther(last+1, now.Add(lease), now)
		}
		term = max(term, r.Status.Term)
	}
	for _, h := range holds {
		if h.since.After(t.requestedAt(last)) && !slices.ContainsFunc(t.own, func(o ownToken) bool { return o.term == h.term }) {
			t = t.withOther(last+1, h.since.Add(lease), now)
		}
	}
	t.term = term
	return t
}

// withOther records a request of another instance, and drops those after which the lease has passed.
func (t turn) withOther(fence uint64, until, now time.Time) turn {
	others := make([]otherRequest, 0, len(t.others)+1)
	for _, o := range t.others {
		if o.fence == fence && o.until.After(until) {
			until = o.until
		}
		if o.fence != fence && o.until.After(now) {
			others = append(others, o)
		}
	}
	if until.After(now) {
		others = append(others, otherRequest{fence: fence, until: until})
	}
	t.others = others
	return t
}

// last returns the highest token of this instance under which a request may have an effect, 0 for none.
func (t turn) last(now time.Time) uint64 {
	last := uint64(0)
	for _, o := range t.own {
		if !o.requestedAt.IsZero() && now.Sub(o.requestedAt) < group.MaxPromotionAge {
			last = max(last, o.fence)
		}
	}
	return last
}

// requestedAt returns when this instance last made a request under a token that may have an effect, zero for none.
func (t turn) requestedAt(fence uint64) time.Time {
	for _, o := range t.own {
		if o.fence == fence {
			return o.requestedAt
		}
	}
	return time.Time{}
}

func (t turn) isOwn(fence uint64) bool {
	return slices.ContainsFunc(t.own, func(o ownToken) bool { return o.fence == fence })
}

// BlockedBy returns why this instance must not request a promotion under a new token, empty if it may.
func (t turn) BlockedBy(now time.Time) string {
	last := t.last(now)
	if last == 0 {
		return ""
	}
	if t.otherAbove(last, now).IsZero() {
		return ""
	}
	return fmt.Sprintf("another instance has requested a promotion since this one did under token %d", last)
}

// Outrun reports whether another instance has made a request under a higher token, which the platform may carry out after one under this token.
func (t turn) Outrun(fence uint64, now time.Time) bool { return !t.otherAbove(fence, now).IsZero() }

// Stale reports whether a token should be exchanged before its first use, since the platform refuses it or another instance has outrun it.
func (t turn) Stale(fence uint64, now time.Time) bool {
	return t.settled > fence || t.Outrun(fence, now)
}

// otherAbove returns the end of the lease after the last request of another instance under a token above fence, zero for none.
func (t turn) otherAbove(fence uint64, now time.Time) time.Time {
	var until time.Time
	for _, o := range t.others {
		if o.fence > fence && o.until.After(now) && o.until.After(until) {
			until = o.until
		}
	}
	return until
}
