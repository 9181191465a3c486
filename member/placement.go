package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskincove/config"
)

// Rank orders instances by rendezvous hashing for a key, highest first; all who know the same instances agree.
func Rank(key string, instances []Instance) []Instance {
	return NewPlacement(instances).Top(key, "", len(instances))
}

// candidate is an instance with the hash of its name.
type candidate struct {
	instance Instance
	hash     uint64
}

// Placement ranks a set of instances for many keys; it is immutable.
type Placement struct {
	all     []candidate
	domains map[string][]candidate
	regions map[string][]candidate
}

// NewPlacement returns a placement over instances.
func NewPlacement(instances []Instance) *Placement {
	p := &Placement{
		all:     make([]candidate, 0, len(instances)),
		domains: make(map[string][]candidate),
		regions: make(map[string][]candidate),
	}
	for _, i := range instances {
		c := candidate{instance: i, hash: xxhash.Sum64String(i.ID)}
		p.all = append(p.all, c)
		p.domains[i.Domain] = append(p.domains[i.Domain], c)
		p.regions[config.Region(i.Domain)] = append(p.regions[config.Region(i.Domain)], c)
	}
	return p
}

// near returns the instances in a failure domain, or else in its region, or else all; an empty domain means all.
func (p *Placement) near(domain string) []candidate {
	if found := p.domains[domain]; len(found) > 0 && domain != "" {
		return found
	}
	if found := p.regions[config.Region(domain)]; len(found) > 0 && domain != "" {
		return found
	}
	return p.all
}

// scored is an instance with its score for a key.
type scored struct {
	candidate candidate
	score     uint64
}

// order puts the higher score first.
func (s scored) order(other scored) int {
	return cmp.Or(cmp.Compare(other.score, s.score), cmp.Compare(s.candidate.instance.ID, other.candidate.instance.ID))
}

// Top returns the n instances near a failure domain that rank highest for a key.
func (p *Placement) Top(key, domain string, n int) []Instance {
	return p.topOf(p.near(domain), key, n)
}

func (p *Placement) topOf(near []candidate, key string, n int) []Instance {
	seed := xxhash.Sum64String(key)
	best := make([]scored, 0, min(n, len(near))+1)
	for _, c := range near {
		s := scored{candidate: c, score: mix(seed ^ c.hash)}
		if len(best) >= n && (n == 0 || s.order(best[len(best)-1]) > 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, scored.order)
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), n)]
	}
	out := make([]Instance, 0, len(best))
	for _, s := range best {
		out = append(out, s.candidate.instance)
	}
	return out
}

// Spread returns n instances for a key, taken in turn from the regions of the failure domains, so that the loss of a
// region leaves instances in the others; regions without instances are passed over, and when all are, any will do.
func (p *Placement) Spread(key string, domains []string, n int) []Instance {
	regions := p.inhabited(key, domains)
	if len(regions) == 0 {
		return p.Top(key, "", n)
	}
	ranked := make([][]Instance, 0, len(regions))
	for _, domain := range regions {
		ranked = append(ranked, p.topOf(p.regions[config.Region(domain)], key, n))
	}
	var out []Instance
	for place := range n {
		for _, region := range ranked {
			if place < len(region) && len(out) < n {
				out = append(out, region[place])
			}
		}
	}
	return out
}

// inhabited returns one domain of each region that has instances, in an order given by the key.
func (p *Placement) inhabited(key string, domains []string) []string {
	seen := make(map[string]bool)
	var out []string
	for _, domain := range domains {
		region := config.Region(domain)
		if !seen[region] && len(p.regions[region]) > 0 {
			seen[region] = true
			out = append(out, domain)
		}
	}
	score := func(domain string) uint64 {
		return mix(xxhash.Sum64String(key) ^ xxhash.Sum64String(config.Region(domain)))
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	return out
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Inhabited reports whether an instance is in the region of a failure domain.
func (p *Placement) HasInstances(domain string) bool {
	return len(p.regions[config.Region(domain)]) > 0
}
