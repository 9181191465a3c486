package allotment

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskincove/config"
	"siskincove/member"
)

// rankingKey is the key by which instances are ranked for a workspace's accounts.
func rankingKey(workspace string) string { return "allotment/" + workspace }

// ranked returns the n instances of a region that rank highest for a workspace. An empty region means all instances.
func ranked(p *member.Placement, workspace, region string, n int) []member.Instance {
	domain := ""
	if region != "" {
		domain = region + "/"
	}
	return p.HighestRanked(rankingKey(workspace), domain, n)
}

// Nearest returns the instances that may keep the accounts of a workspace, the nearest to self first, without dead ones.
// Instances at the same distance come in another order for each self, which spreads the requests over them.
func Nearest(p *member.Placement, workspace string, count int, regions []string, self member.Instance) []member.Instance {
	var out []member.Instance
	for _, region := range regions {
		for _, i := range ranked(p, workspace, region, count) {
			if i.State != member.Dead {
				out = append(out, i)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b member.Instance) int {
		return cmp.Or(cmp.Compare(distance(self, a), distance(self, b)), cmp.Compare(xxhash.Sum64String(self.ID+a.ID), xxhash.Sum64String(self.ID+b.ID)))
	})
	return out
}

func distance(self, other member.Instance) int {
	switch {
	case self.ID == other.ID:
		return 0
	case self.Domain == other.Domain:
		return 1
	case config.Region(self.Domain) == config.Region(other.Domain):
		return 2
	default:
		return 3
	}
}
