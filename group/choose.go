package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskincove/config"
	"siskincove/endpoint"
)

// Query is a statement, or the first of a transaction, that needs an endpoint.
type Query struct {
	// Lead tells that only the primary may serve.
	PrimaryOnly bool
	// Token is the position that the session must see.
	Token endpoint.Position
	// Age is the greatest accepted age of the data, 0 when it is not bounded.
	MaxAge time.Duration
	// Domain is the failure domain of this instance, as region/domain.
	Domain string
	// Salt spreads sessions over endpoints that are equally good.
	Salt string
	// Tried are endpoints that have refused the statement in this round.
	Tried []string
	// Shunned are endpoints that could not be reached for this statement; they are not chosen while they count as failed.
	Unreachable []string
}

// passes reports whether an endpoint is not to be chosen for the statement.
func (v View) passes(q Query, name string, now time.Time) bool {
	return slices.Contains(q.Tried, name) || slices.Contains(q.Unreachable, name) && now.Before(v.member(name).avoidUntil)
}

// Choice is an endpoint that may serve a statement.
type Choice struct {
	Endpoint config.Endpoint
	// Lead tells that the endpoint has to prove that it leads when it runs the statement.
	Lead bool
	// After is the position that the endpoint has to have otherwise.
	After endpoint.Position
	// Seeks tells that the primary serves only since no certificate is young enough; its answer will be one.
	SeeksProof bool
	// Takes is how long the endpoint's statements of this instance took lately, on average.
	MeanLatency time.Duration
	// Why is the rule that gave the choice.
	Rule string
}

const (
	// costRegion and costFar stand for the latency and the price of the way to another failure domain or region.
	costRegion = 5 * time.Millisecond
	costFar    = 30 * time.Millisecond
	// costLead keeps reads off the primary, whose slots writes can't do without.
	costLead = 25 * time.Millisecond
	// costBusy is the wait that a refusal for want of a slot stands for.
	costBusy = 120 * time.Millisecond
	// costAvoid and costBehind put endpoints that failed or were behind lately last.
	costAvoid  = 2 * time.Second
	costBehind = time.Second
	// costSalt is up to how much the order of endpoints differs between sessions.
	costSalt = 8 * time.Millisecond
	// certificateMargin covers what passes between the choice and the arrival of the statement, and clocks' grain.
	certificateMargin = 20 * time.Millisecond
	// denialPause is how long an endpoint that denied to lead is not asked again while no other is known to.
	denialPause = 150 * time.Millisecond
)

// Choose returns the endpoints that may serve a statement, best first. In flight tells how many statements of this
// instance an endpoint serves.
func (v View) Choose(q Query, members []config.Endpoint, inflight func(string) int, now time.Time) []Choice {
	if q.PrimaryOnly {
		return v.leads(q, members, now)
	}
	after, bounded := v.after(q, now)
	type candidate struct {
		choice Choice
		cost   time.Duration
	}
	var out []candidate
	for _, e := range members {
		if v.passes(q, e.Name, now) {
			continue
		}
		c := Choice{Endpoint: e, After: after, Rule: "replica"}
		if e.Name == v.lead.Endpoint {
			c = Choice{Endpoint: e, Lead: true, Rule: "primary"}
		} else if !bounded || e.Leaving {
			continue
		}
		out = append(out, candidate{choice: c, cost: v.cost(q, c, inflight(e.Name), now)})
	}
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	choices := make([]Choice, 0, len(out))
	for _, c := range out {
		c.choice.MeanLatency = v.member(c.choice.Endpoint.Name).latency
		c.choice.SeeksProof = !bounded
		choices = append(choices, c.choice)
	}
	if len(choices) == 0 && len(q.Tried) == 0 {
		return v.leads(q, members, now)
	}
	return choices
}

// after returns the position that a replica must have for a read, and false when no certificate is young enough to
// tell.
func (v View) after(q Query, now time.Time) (endpoint.Position, bool) {
	if q.MaxAge <= 0 {
		return q.Token, true
	}
	c, ok := v.history.Oldest(now.Add(certificateMargin - q.MaxAge))
	return q.Token.Max(c.Position), ok
}

// leads returns the primary, or when none is known every endpoint that has not denied lately.
func (v View) leads(q Query, members []config.Endpoint, now time.Time) []Choice {
	var out []Choice
	for _, e := range members {
		if slices.Contains(q.Tried, e.Name) {
			continue
		}
		if e.Name == v.lead.Endpoint {
			if now.Before(v.member(e.Name).avoidUntil) {
				return nil
			}
			return []Choice{{Endpoint: e, Lead: true, MeanLatency: v.member(e.Name).latency, Rule: "primary"}}
		}
		m := v.member(e.Name)
		if v.lead.Endpoint == "" && now.Sub(m.deniedAt) >= denialPause && !now.Before(m.avoidUntil) {
			out = append(out, Choice{Endpoint: e, Lead: true, MeanLatency: m.latency, Rule: "no primary known"})
		}
	}
	return out
}

// cost estimates how long an endpoint takes to answer, with what its use costs others added.
func (v View) cost(q Query, c Choice, inflight int, now time.Time) time.Duration {
	m := v.member(c.Endpoint.Name)
	cost := distance(q.Domain, c.Endpoint.Domain) + m.latency + time.Duration(m.busyShare(now)*float64(costBusy))
	cost += time.Duration(inflight) * m.latency / 2
	if c.Lead {
		cost += costLead
	} else if m.lacks(c.After, now) {
		cost += costBehind
	}
	if now.Before(m.avoidUntil) {
		cost += costAvoid
	}
	salt := xxhash.Sum64String(q.Salt + c.Endpoint.Name)
	return cost + time.Duration(salt%uint64(costSalt))
}

func distance(a, b string) time.Duration {
	switch {
	case a == b:
		return 0
	case config.Region(a) == config.Region(b):
		return costRegion
	default:
		return costFar
	}
}
