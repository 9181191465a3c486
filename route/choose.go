package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskincove/config"
	"siskincove/session"
)

// Request is what is to be routed.
type Request struct {
	// Write requests go to the primary only.
	Write bool
	// Replicas tells that reads may be served by replicas.
	Replicas bool
	// Domain is the failure domain of the instance that routes.
	Domain string
	// Salt spreads requests of different sessions over endpoints that are equally good.
	Salt string
	// Need is what a read asks of an endpoint.
	Need session.Need
	// Tried are endpoints that have refused the request.
	Tried []string
}

// Candidate is an endpoint that may serve a request; Why is the rule that gave its place.
type Candidate struct {
	Endpoint config.Endpoint
	Rule     string
}

const (
	costDomain  = 0 * time.Millisecond
	costRegion  = 3 * time.Millisecond
	costFar     = 20 * time.Millisecond
	costWaiting = 2 * time.Millisecond
)

// Choose returns the endpoints that may serve a request, best first; it returns none for a write when no primary is
// known.
func Choose(r Request, members []config.Endpoint, k View, now time.Time) []Candidate {
	primary, led := k.Primary()
	if r.Write || !r.Replicas {
		return primaryOnly(r, members, k, primary, led, now)
	}
	replicas := replicasOf(r, members, primary)
	sortReplicas(replicas, r, k)
	var good, bad []Candidate
	for _, e := range replicas {
		seen := k.Observation(e.Name)
		c := Candidate{Endpoint: e, Rule: why(r, e, seen, now)}
		if now.Before(seen.AvoidUntil) || seen.behind(r.Need, now) {
			bad = append(bad, c)
			continue
		}
		good = append(good, c)
	}
	resort := lastResort(r, members, primary)
	if now.Before(k.Observation(primary).AvoidUntil) {
		return append(append(good, bad...), resort...)
	}
	return append(append(good, resort...), bad...)
}

func primaryOnly(r Request, members []config.Endpoint, k View, primary string, led bool, now time.Time) []Candidate {
	if !led || slices.Contains(r.Tried, primary) || now.Before(k.Observation(primary).AvoidUntil) {
		return nil
	}
	for _, e := range members {
		if e.Name == primary {
			return []Candidate{{Endpoint: e, Rule: "primary"}}
		}
	}
	return nil
}

func replicasOf(r Request, members []config.Endpoint, primary string) []config.Endpoint {
	var out []config.Endpoint
	for _, e := range members {
		if e.Name != primary && !e.Leaving && !slices.Contains(r.Tried, e.Name) {
			out = append(out, e)
		}
	}
	return out
}

func lastResort(r Request, members []config.Endpoint, primary string) []Candidate {
	for _, e := range members {
		if e.Name == primary && !e.Leaving && !slices.Contains(r.Tried, primary) {
			return []Candidate{{Endpoint: e, Rule: "primary, no replica left"}}
		}
	}
	return nil
}

func sortReplicas(replicas []config.Endpoint, r Request, k View) {
	slices.SortFunc(replicas, func(a, b config.Endpoint) int {
		return cmp.Or(
			cmp.Compare(cost(r.Domain, a, k), cost(r.Domain, b, k)),
			cmp.Compare(xxhash.Sum64String(r.Salt+a.Name), xxhash.Sum64String(r.Salt+b.Name)),
		)
	})
}

// cost estimates how long an endpoint takes to answer beyond the statement itself.
func cost(domain string, e config.Endpoint, k View) time.Duration {
	return distance(domain, e.Domain) + time.Duration(k.Observation(e.Name).Waiting)*costWaiting
}

func distance(a, b string) time.Duration {
	switch {
	case a == b:
		return costDomain
	case config.Region(a) == config.Region(b):
		return costRegion
	default:
		return costFar
	}
}

func why(r Request, e config.Endpoint, s Observation, now time.Time) string {
	domain := r.Domain
	switch {
	case now.Before(s.AvoidUntil):
		return "replica, lately failed"
	case s.behind(r.Need, now):
		return "replica, lately not fresh enough"
	case domain == e.Domain:
		return "replica in the same failure domain"
	case config.Region(domain) == config.Region(e.Domain):
		return "replica in the same region"
	default:
		return "replica in another region"
	}
}
