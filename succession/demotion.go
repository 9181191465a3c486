package succession

import (
	"context"
	"slices"

	"siskincove/config"
	"siskincove/endpoint"
)

// mayDemote probes the endpoints once more before the primary is demoted, after which nobody leads until another endpoint is promoted.
// It reports whether the replicas can be held, and the primary has not been replaced since the results.
func (c *Coordinator) mayDemote(ctx context.Context, targets probeTargets, counted []config.Endpoint, results []ProbeResult, primary string) bool {
	return canDemote(counted, results, c.probeAll(ctx, targets), primary)
}

func canDemote(counted []config.Endpoint, before, now []ProbeResult, primary string) bool {
	status := func(results []ProbeResult, name string) *endpoint.PlatformStatus {
		at := slices.IndexFunc(results, func(r ProbeResult) bool { return r.Endpoint == name })
		if at < 0 {
			return nil
		}
		return results[at].Status
	}
	for _, e := range counted {
		s := status(now, e.Name)
		switch {
		case e.Name != primary && (s == nil || s.Role != endpoint.Replica):
			return false
		case e.Name == primary && s != nil && (s.Role != endpoint.Primary || s.Term != status(before, primary).Term):
			return false
		}
	}
	return true
}
