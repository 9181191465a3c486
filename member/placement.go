package member

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
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
		p.regions[Region(i.Domain)] = append(p.regions[Region(i.Domain)], c)
	}
	return p
}

// near returns the instances in a failure domain, or else in its region, or else all; an empty domain means all.
func (p *Placement) near(domain string) []candidate {
	if found := p.domains[domain]; len(found) > 0 && domain != "" {
		return found
	}
	if found := p.regions[Region(domain)]; len(found) > 0 && domain != "" {
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
	seed := xxhash.Sum64String(key)
	near := p.near(domain)
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

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Region returns the region of a failure domain.
func Region(domain string) string {
	region, _, _ := strings.Cut(domain, "/")
	return region
}
