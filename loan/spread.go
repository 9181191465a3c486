package loan

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"siskincove/clock"
	"siskincove/connection"
	"siskincove/member"
)

const (
	// crowdingTime is how long after a holder's report half of a workspace's new loans go to the next holder.
	crowdingTime = time.Second
	// otherHolderTime is how long a workspace's loan from another holder than its first lasts, so that its statements meet again
	// once the first answers or is no longer crowded.
	otherHolderTime = 5 * time.Second
)

// crowdedKey names a workspace's use of an endpoint.
type crowdedKey struct{ endpoint, workspace string }

// Spread tracks which workspaces have more statements for an endpoint than one holder can serve. Their loans are spread over two
// holders.
type Spread struct {
	clock clock.Service

	mu    sync.Mutex
	until map[crowdedKey]time.Time
}

// NewSpread returns a Spread without workspaces.
func NewSpread(clk clock.Service) *Spread {
	return &Spread{clock: clk, until: make(map[crowdedKey]time.Time)}
}

// recordCrowding records that a holder reported a workspace as crowded, and reports whether the loan is to end. Half of them
// do, at random, since many borrowers get the report at once.
func (s *Spread) recordCrowding(endpoint, workspace string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	maps.DeleteFunc(s.until, func(_ crowdedKey, until time.Time) bool { return !now.Before(until) })
	s.until[crowdedKey{endpoint, workspace}] = now.Add(crowdingTime)
	return rand.IntN(2) == 0
}

// isCrowded reports whether a workspace's statements for an endpoint are to be spread.
func (s *Spread) isCrowded(target connection.Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now().Before(s.until[crowdedKey{target.Endpoint.Name, target.Workspace}])
}

// order returns the holders in the order in which to ask them: half of the loans of a crowded workspace begin with the second.
func (s *Spread) order(target connection.Target, holders []member.Instance) []member.Instance {
	if s == nil || len(holders) < 2 || !s.isCrowded(target) || rand.IntN(2) == 0 {
		return holders
	}
	out := slices.Clone(holders)
	out[0], out[1] = out[1], out[0]
	return out
}
