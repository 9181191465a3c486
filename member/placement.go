package member

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Rank orders instances by rendezvous hashing for a key, highest first; all who know the same instances agree.
func Rank(key string, instances []Instance) []Instance {
	seed := xxhash.Sum64String(key)
	type scored struct {
		instance Instance
		score    uint64
	}
	all := make([]scored, 0, len(instances))
	for _, i := range instances {
		all = append(all, scored{instance: i, score: score(seed, i.ID)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.instance.ID, b.instance.ID))
	})
	out := make([]Instance, 0, len(all))
	for _, s := range all {
		out = append(out, s.instance)
	}
	return out
}

// score mixes the key's hash with the instance's, by the finalizer of splitmix64.
func score(seed uint64, id string) uint64 {
	x := seed ^ xxhash.Sum64String(id)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Near returns the instances in a failure domain, or else in its region, or else all.
func Near(domain string, instances []Instance) []Instance {
	if found := filter(instances, func(i Instance) bool { return i.Domain == domain }); len(found) > 0 {
		return found
	}
	region := Region(domain)
	if found := filter(instances, func(i Instance) bool { return Region(i.Domain) == region }); len(found) > 0 {
		return found
	}
	return instances
}

func filter(instances []Instance, keep func(Instance) bool) []Instance {
	var out []Instance
	for _, i := range instances {
		if keep(i) {
			out = append(out, i)
		}
	}
	return out
}

// Region returns the region of a failure domain.
func Region(domain string) string {
	region, _, _ := strings.Cut(domain, "/")
	return region
}
