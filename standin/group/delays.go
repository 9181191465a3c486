package group

import "time"

// NetworkDelays are the one-way delays between failure domains, which are named region/domain.
type NetworkDelays struct {
	// WithinDomain is the delay inside one failure domain.
	WithinDomain time.Duration
	// BetweenDomains is the delay between failure domains of one region.
	BetweenDomains time.Duration
	// BetweenRegions is the delay between regions.
	BetweenRegions time.Duration
}

// Delay returns the one-way delay between two failure domains; an empty name counts as the same domain.
func (p NetworkDelays) Delay(a, b string) time.Duration {
	switch {
	case a == "" || b == "" || a == b:
		return p.WithinDomain
	case regionOf(a) == regionOf(b):
		return p.BetweenDomains
	default:
		return p.BetweenRegions
	}
}

func regionOf(domain string) string {
	for i := range len(domain) {
		if domain[i] == '/' {
			return domain[:i]
		}
	}
	return domain
}
