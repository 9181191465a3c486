package proof

import (
	"context"
	"testing"
	"time"

	"siskincove/failover"
	"siskincove/load"
	"siskincove/standin/cluster"
)

// primaryFault injects a fault that affects the group's primary, and reverts it.
type primaryFault struct {
	inject func(c *cluster.Cluster, primary int) error
	revert func(c *cluster.Cluster, primary int) error
}

func groupFault(name string) primaryFault {
	return primaryFault{
		inject: func(c *cluster.Cluster, primary int) error { return c.Groups[0].Fault(primary, name, "true") },
		revert: func(c *cluster.Cluster, primary int) error { return c.Groups[0].Fault(primary, name, "false") },
	}
}

func loadOptions(c *cluster.Cluster, mix load.Mix, duration time.Duration, seed uint64) load.Options {
	o := load.Options{
		Addresses: c.Callers(), Caller: caller, Password: password, Service: service,
		Main: []string{database}, History: []string{database + "-history"}, Mix: mix,
		Rate: 150, Duration: duration, Sessions: 24, Roam: 6, Timeout: 15 * time.Second, Probe: 20 * time.Millisecond, Seed: seed,
	}
	return o
}

// TestFailover makes the primary fail in different ways under load: another endpoint is promoted without an operator, and
// the answers before, during and after are consistent with each other.
func TestFailover(t *testing.T) {
	tests := map[string]struct {
		fault  primaryFault
		vendor string
	}{
		"killed":                           {fault: groupFault("killed"), vendor: "postgres"},
		"frozen":                           {fault: groupFault("frozen"), vendor: "managed"},
		"cut off from replicas":            {fault: groupFault("cutpeers"), vendor: "postgres"},
		"cut off from callers":             {fault: groupFault("cutcallers"), vendor: "managed"},
		"cut off from both, still primary": {fault: combinedFaults("cutpeers", "cutcallers"), vendor: "managed"},
		"killed, answer to promote lost":   {fault: lostPromoteAnswer(), vendor: "managed"},
		"killed, replicas apply late":      {fault: laggingReplicas(), vendor: "postgres"},
		"killed while the store is down":   {fault: storeDown(), vendor: "postgres"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, func(o *cluster.Options) { o.Groups[0].Vendor = test.vendor }, cluster.Objects{Deadline: 3 * time.Second})
			waitTermsReserved(t, c)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			result := make(chan load.Report, 1)
			go func() {
				report, err := load.Run(ctx, loadOptions(c, load.Kelloviisari, 9*time.Second, 7))
				if err != nil {
					t.Error(err)
				}
				result <- report
			}()
			time.Sleep(2 * time.Second)
			primary, err := c.Groups[0].Primary()
			if err != nil {
				t.Fatal(err)
			}
			if err := test.fault.inject(c, primary); err != nil {
				t.Fatal(err)
			}
			changed := eventually(func() bool { return primaryChanged(c, primary) })
			time.Sleep(time.Second)
			if err := test.fault.revert(c, primary); err != nil {
				t.Fatal(err)
			}
			report := <-result
			t.Logf("longest gap between acknowledged probe writes %.0f ms, refusals %v", report.LongestGap, report.Refusals)
			if !changed {
				t.Error("no other endpoint became primary")
			}
			if !report.Passed() {
				t.Errorf("violated guarantees: %+v, not verified: %d", report.Violations, report.Unverified)
			}
			if !eventually(func() bool { return converged(c) }) {
				states, _ := c.Groups[0].States()
				t.Errorf("the group did not converge: %+v", states)
			}
		})
	}
}

// primaryChanged reports whether the primary with the highest term is another endpoint than old.
func primaryChanged(c *cluster.Cluster, old int) bool {
	n, err := c.Groups[0].Primary()
	return err == nil && n >= 0 && n != old
}

// converged reports whether the group has one primary and all members have applied its log to the end.
func converged(c *cluster.Cluster) bool {
	states, err := c.Groups[0].States()
	if err != nil {
		return false
	}
	primaries := 0
	for _, s := range states {
		if s.Role == "primary" {
			primaries++
		}
		if s.Fenced != states[0].Fenced || s.Log != states[0].Log || s.Applied != s.Log {
			return false
		}
	}
	return primaries == 1
}

// waitTermsReserved waits until as many instances as there are coordinators have reserved terms.
func waitTermsReserved(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	reserved := func() bool {
		n := 0
		for _, i := range c.Instances {
			if contains(i.Log(), "term reserved") {
				n++
			}
		}
		return n >= min(len(c.Instances), failover.Coordinators)
	}
	if !eventually(reserved) {
		t.Fatal("no terms were reserved")
	}
}

func combinedFaults(names ...string) primaryFault {
	set := func(value string) func(*cluster.Cluster, int) error {
		return func(c *cluster.Cluster, primary int) error {
			for _, name := range names {
				if err := c.Groups[0].Fault(primary, name, value); err != nil {
					return err
				}
			}
			return nil
		}
	}
	return primaryFault{inject: set("true"), revert: set("false")}
}

// lostPromoteAnswer kills the primary while every member drops the answer to its next promotion.
func lostPromoteAnswer() primaryFault {
	killed := groupFault("killed")
	return primaryFault{
		inject: func(c *cluster.Cluster, primary int) error {
			for m := range c.Groups[0].Endpoints {
				if err := c.Groups[0].Fault(m, "losecontrol", "true"); err != nil {
					return err
				}
			}
			return killed.inject(c, primary)
		},
		revert: killed.revert,
	}
}

// laggingReplicas kills the primary while every member receives the log in time but applies it 2 min late.
func laggingReplicas() primaryFault {
	killed := groupFault("killed")
	lag := func(c *cluster.Cluster, value string) error {
		for m := range c.Groups[0].Endpoints {
			if err := c.Groups[0].Fault(m, "applylag", value); err != nil {
				return err
			}
		}
		return nil
	}
	return primaryFault{
		inject: func(c *cluster.Cluster, primary int) error {
			if err := lag(c, "2m"); err != nil {
				return err
			}
			return killed.inject(c, primary)
		},
		revert: func(c *cluster.Cluster, primary int) error {
			if err := lag(c, "0s"); err != nil {
				return err
			}
			return killed.revert(c, primary)
		},
	}
}

func storeDown() primaryFault {
	killed := groupFault("killed")
	return primaryFault{
		inject: func(c *cluster.Cluster, primary int) error {
			if err := c.StoreFault("down", "true"); err != nil {
				return err
			}
			return killed.inject(c, primary)
		},
		revert: func(c *cluster.Cluster, primary int) error {
			if err := c.StoreFault("down", "false"); err != nil {
				return err
			}
			return killed.revert(c, primary)
		},
	}
}
