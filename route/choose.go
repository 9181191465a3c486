package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskincove/config"
	"siskincove/session"
)

// Request describes a caller's request that needs an endpoint.
type Request struct {
	// Write is set if only the primary may serve the request because it writes.
	Write bool
	// Replicas is set if replicas may serve reads.
	Replicas bool
	// Domain is the failure domain of this instance.
	Domain string
	// Salt distributes sessions over equally good endpoints.
	Salt string
	// Requirement is the freshness that a read requires of an endpoint.
	Requirement session.Requirement
	// Tried lists the endpoints that have refused the request.
	Tried []string
}

// Candidate is an endpoint that may serve a request. Rule states why it was ranked as it was, for the log.
type Candidate struct {
	Endpoint config.Endpoint
	Rule     string
}

// The cost of an endpoint estimates the time until it answers, apart from the execution of the statement: the network
// latency by location, and the wait for a slot by the number of requests that wait there.
const (
	costSameDomain  = 0 * time.Millisecond
	costSameRegion  = 3 * time.Millisecond
	costOtherRegion = 20 * time.Millisecond
	costPerWaiting  = 2 * time.Millisecond
)

// Choose returns the endpoints that may serve a request, best first. If no primary is known, it returns none for a
// write.
func Choose(r Request, members []config.Endpoint, v View, now time.Time) []Candidate {
	primary, known := v.Primary()
	if r.Write || !r.Replicas {
		return primaryCandidate(r, members, v, primary, known, now)
	}
	replicas := replicaCandidates(r, members, primary)
	sortReplicas(replicas, r, v)
	var usable, demoted []Candidate
	for _, e := range replicas {
		observed := v.Observation(e.Name)
		c := Candidate{Endpoint: e, Rule: replicaRule(r, e, observed, now)}
		if now.Before(observed.AvoidUntil) || observed.isBehind(r.Requirement, now) {
			demoted = append(demoted, c)
			continue
		}
		usable = append(usable, c)
	}
	fallback := primaryFallback(r, members, primary)
	if now.Before(v.Observation(primary).AvoidUntil) {
		return append(append(usable, demoted...), fallback...)
	}
	return append(append(usable, fallback...), demoted...)
}

// primaryCandidate returns the primary, or nothing if it is not known, was tried already or is to be avoided.
func primaryCandidate(r Request, members []config.Endpoint, v View, primary string, known bool, now time.Time) []Candidate {
	if !known || slices.Contains(r.Tried, primary) || now.Before(v.Observation(primary).AvoidUntil) {
		return nil
	}
	for _, e := range members {
		if e.Name == primary {
			return []Candidate{{Endpoint: e, Rule: "primary"}}
		}
	}
	return nil
}

func replicaCandidates(r Request, members []config.Endpoint, primary string) []config.Endpoint {
	var out []config.Endpoint
	for _, e := range members {
		if e.Name != primary && !e.Leaving && !slices.Contains(r.Tried, e.Name) {
			out = append(out, e)
		}
	}
	return out
}

// primaryFallback returns the primary as a candidate for a read, to be ranked after the usable replicas. It does so even
// if another endpoint has promised a higher term.
func primaryFallback(r Request, members []config.Endpoint, primary string) []Candidate {
	for _, e := range members {
		if e.Name == primary && !e.Leaving && !slices.Contains(r.Tried, primary) {
			return []Candidate{{Endpoint: e, Rule: "primary, no replica left"}}
		}
	}
	return nil
}

func sortReplicas(replicas []config.Endpoint, r Request, v View) {
	slices.SortFunc(replicas, func(a, b config.Endpoint) int {
		return cmp.Or(
			cmp.Compare(cost(r.Domain, a, v), cost(r.Domain, b, v)),
			cmp.Compare(xxhash.Sum64String(r.Salt+a.Name), xxhash.Sum64String(r.Salt+b.Name)),
		)
	})
}

// cost returns the cost of an endpoint for an instance in a failure domain.
func cost(domain string, e config.Endpoint, v View) time.Duration {
	return distance(domain, e.Domain) + time.Duration(v.Observation(e.Name).Waiting)*costPerWaiting
}

func distance(a, b string) time.Duration {
	switch {
	case a == b:
		return costSameDomain
	case config.Region(a) == config.Region(b):
		return costSameRegion
	default:
		return costOtherRegion
	}
}

func replicaRule(r Request, e config.Endpoint, o Observation, now time.Time) string {
	domain := r.Domain
	switch {
	case now.Before(o.AvoidUntil):
		return "replica, recently failed"
	case o.isBehind(r.Requirement, now):
		return "replica, recently not fresh enough"
	case domain == e.Domain:
		return "replica in the same failure domain"
	case config.Region(domain) == config.Region(e.Domain):
		return "replica in the same region"
	default:
		return "replica in another region"
	}
}
