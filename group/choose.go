package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskincove/config"
	"siskincove/endpoint"
)

// Query describes a statement, or the first statement of a transaction, that needs an endpoint.
type Query struct {
	// PrimaryOnly is set if only the primary may serve the statement.
	PrimaryOnly bool
	// Writes is set if the statement, or its transaction, may write. It is not served by a primary that is being replaced.
	Writes bool
	// Token is the log position of the session's token, which the statement must observe.
	Token endpoint.Position
	// MaxAge is the greatest accepted age of the data, 0 for no limit.
	MaxAge time.Duration
	// Domain is the failure domain of this instance, as region/domain.
	Domain string
	// Salt distributes sessions over equally good endpoints.
	Salt string
	// Tried lists the endpoints that have refused the statement in the current round.
	Tried []string
	// Unreachable lists the endpoints that this statement could not reach. They are not chosen while they count as
	// failed.
	Unreachable []string
}

// excludes reports whether an endpoint must not be chosen for a read.
func (v View) excludes(q Query, name string, now time.Time) bool {
	return slices.Contains(q.Tried, name) || slices.Contains(q.Unreachable, name) && now.Before(v.observation(name).avoidUntil)
}

// Choice is an endpoint that may serve a statement.
type Choice struct {
	Endpoint config.Endpoint
	// Lead is set if the endpoint has to prove that it leads, that is, that it is the primary, when it runs the statement.
	Lead bool
	// After is the log position that the endpoint must have if Lead is not set.
	After endpoint.Position
	// FetchesProof is set if only the primary may serve the read because no freshness certificate is recent enough; its
	// answer will provide one.
	FetchesProof bool
	// MeanLatency is the mean duration of this instance's recent statements at the endpoint.
	MeanLatency time.Duration
	// Rule names the rule that selected the endpoint, for the log.
	Rule string
}

const (
	// costSameRegion and costOtherRegion weigh the latency and the price of traffic to another failure domain in the
	// same region, and to another region.
	costSameRegion  = 5 * time.Millisecond
	costOtherRegion = 30 * time.Millisecond
	// costPrimary keeps reads off the primary, whose slots are needed for writes.
	costPrimary = 25 * time.Millisecond
	// costBusy is the expected wait after a refusal for lack of a slot. It counts in proportion to the endpoint's busy
	// share.
	costBusy = 120 * time.Millisecond
	// costFailed and costBehind rank last the endpoints that recently failed or were behind.
	costFailed = 2 * time.Second
	costBehind = time.Second
	// maxSaltCost bounds the part of the cost that depends on the session's salt.
	maxSaltCost = 8 * time.Millisecond
	// certificateMargin covers the time between the choice and the arrival of the statement, and the resolution of
	// clocks.
	certificateMargin = 20 * time.Millisecond
	// notPrimaryPause is how long an endpoint that reported that it does not lead is not asked again while no primary is
	// known.
	notPrimaryPause = 150 * time.Millisecond
)

// Choose returns the endpoints that may serve a statement, best first. inflight returns how many statements of this
// instance an endpoint is serving.
func (v View) Choose(q Query, members []config.Endpoint, inflight func(string) int, now time.Time) []Choice {
	if q.PrimaryOnly {
		return v.primaryCandidates(q, members, now)
	}
	after, positionKnown := v.requiredPosition(q, now)
	type candidate struct {
		choice Choice
		cost   time.Duration
	}
	var out []candidate
	for _, e := range members {
		if v.excludes(q, e.Name, now) {
			continue
		}
		c := Choice{Endpoint: e, After: after, Rule: "replica"}
		if e.Name == v.lead.Endpoint {
			c = Choice{Endpoint: e, Lead: true, Rule: "primary"}
		} else if !positionKnown || e.Leaving {
			continue
		}
		out = append(out, candidate{choice: c, cost: v.cost(q, c, inflight(e.Name), now)})
	}
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	choices := make([]Choice, 0, len(out))
	for _, c := range out {
		c.choice.MeanLatency = v.observation(c.choice.Endpoint.Name).latency
		c.choice.FetchesProof = !positionKnown
		choices = append(choices, c.choice)
	}
	if len(choices) == 0 && len(q.Tried) == 0 {
		return v.primaryCandidates(q, members, now)
	}
	return choices
}

// requiredPosition returns the position that a replica must have to serve a read, and false if no certificate is recent
// enough to tell.
func (v View) requiredPosition(q Query, now time.Time) (endpoint.Position, bool) {
	if q.MaxAge <= 0 {
		return q.Token, true
	}
	c, ok := v.history.Oldest(now.Add(certificateMargin - q.MaxAge))
	return q.Token.Max(c.Position), ok
}

// primaryCandidates returns the primary, or nothing if it recently failed. If no primary is known, it returns every
// endpoint that has neither failed recently nor reported that it does not lead.
func (v View) primaryCandidates(q Query, members []config.Endpoint, now time.Time) []Choice {
	var out []Choice
	for _, e := range members {
		if slices.Contains(q.Tried, e.Name) || q.Writes && v.IsBeingReplaced(e.Name, now) {
			continue
		}
		if e.Name == v.lead.Endpoint {
			if now.Before(v.observation(e.Name).avoidUntil) {
				return nil
			}
			return []Choice{{Endpoint: e, Lead: true, MeanLatency: v.observation(e.Name).latency, Rule: "primary"}}
		}
		o := v.observation(e.Name)
		if v.lead.Endpoint == "" && now.Sub(o.notPrimaryAt) >= notPrimaryPause && !now.Before(o.avoidUntil) {
			out = append(out, Choice{Endpoint: e, Lead: true, MeanLatency: o.latency, Rule: "no primary known"})
		}
	}
	return out
}

// cost estimates how long an endpoint takes to answer, plus what using it costs other statements.
func (v View) cost(q Query, c Choice, inflight int, now time.Time) time.Duration {
	o := v.observation(c.Endpoint.Name)
	cost := distance(q.Domain, c.Endpoint.Domain) + o.latency + time.Duration(o.busyShare(now)*float64(costBusy))
	cost += time.Duration(inflight) * o.latency / 2
	if c.Lead {
		cost += costPrimary
	} else if o.isBehind(c.After, now) {
		cost += costBehind
	}
	if now.Before(o.avoidUntil) {
		cost += costFailed
	}
	salt := xxhash.Sum64String(q.Salt + c.Endpoint.Name)
	return cost + time.Duration(salt%uint64(maxSaltCost))
}

// distance returns the cost of traffic between two failure domains.
func distance(a, b string) time.Duration {
	switch {
	case a == b:
		return 0
	case config.Region(a) == config.Region(b):
		return costSameRegion
	default:
		return costOtherRegion
	}
}
