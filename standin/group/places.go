package group

import "time"

// Places gives the one-way delays between failure domains, which are named region/domain.
type Places struct {
	// Within is the delay inside one failure domain.
	Within time.Duration
	// Domains is the delay between failure domains of one region.
	Domains time.Duration
	// Regions is the delay between regions.
	Regions time.Duration
}

// Delay returns the one-way delay between two failure domains.
func (p Places) Delay(a, b string) time.Duration {
	switch {
	case a == "" || b == "" || a == b:
		return p.Within
	case regionOf(a) == regionOf(b):
		return p.Domains
	default:
		return p.Regions
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
