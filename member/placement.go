package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskincove/config"
)

// Rank orders instances by rendezvous hashing for a key, highest first. All instances with the same view agree, since the
// result depends only on the key and the set of instances.
func Rank(key string, instances []Instance) []Instance {
	return NewPlacement(instances).HighestRanked(key, "", len(instances))
}

// candidate is an instance with the hash of its ID.
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

// nearest returns the instances in a failure domain, or those in its region if there are none, or else all. An empty
// domain means all.
func (p *Placement) nearest(domain string) []candidate {
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

// compare sorts by descending score, then by ID.
func (s scored) compare(other scored) int {
	return cmp.Or(cmp.Compare(other.score, s.score), cmp.Compare(s.candidate.instance.ID, other.candidate.instance.ID))
}

// HighestRanked returns the n instances that rank highest for a key among those in a failure domain. If there are none, it
// takes those in the domain's region, or else all.
func (p *Placement) HighestRanked(key, domain string, n int) []Instance {
	return p.topOf(p.nearest(domain), key, n)
}

func (p *Placement) topOf(instances []candidate, key string, n int) []Instance {
	seed := xxhash.Sum64String(key)
	best := make([]scored, 0, min(n, len(instances))+1)
	for _, c := range instances {
		s := scored{candidate: c, score: mix(seed ^ c.hash)}
		if len(best) >= n && (n == 0 || s.compare(best[len(best)-1]) > 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, scored.compare)
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), n)]
	}
	out := make([]Instance, 0, len(best))
	for _, s := range best {
		out = append(out, s.candidate.instance)
	}
	return out
}

// Spread returns n instances for a key, taken round-robin from the regions of the failure domains, so that the loss of a
// region leaves instances in the others. Regions without instances are skipped; if all are, it picks from all instances.
func (p *Placement) Spread(key string, domains []string, n int) []Instance {
	picked := p.domainPerRegion(key, domains)
	if len(picked) == 0 {
		return p.HighestRanked(key, "", n)
	}
	ranked := make([][]Instance, 0, len(picked))
	for _, domain := range picked {
		ranked = append(ranked, p.topOf(p.regions[config.Region(domain)], key, n))
	}
	var out []Instance
	for rank := range n {
		for _, region := range ranked {
			if rank < len(region) && len(out) < n {
				out = append(out, region[rank])
			}
		}
	}
	return out
}

// domainPerRegion returns one of the domains for each region that has instances, in an order determined by the key.
func (p *Placement) domainPerRegion(key string, domains []string) []string {
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

// HasInstances reports whether the region of a failure domain has instances.
func (p *Placement) HasInstances(domain string) bool {
	return len(p.regions[config.Region(domain)]) > 0
}
