package proof

import (
	"testing"
	"time"

	"siskincove/load"
	"siskincove/standin/cluster"
)

const (
	finland     = "fi-south/a"
	sweden      = "se-east/a"
	germany     = "de-north/a"
	regionDelay = 2 * time.Millisecond
)

// linked starts six instances, two in each region, with a proxy between them.
func startLinkedCluster(t *testing.T) *cluster.Cluster {
	return startCluster(t, func(o *cluster.Options) {
		o.Domains = []string{finland, sweden, germany, finland, sweden, germany}
		o.Link, o.Regions = true, regionDelay
		o.Groups[0].Regions = regionDelay
	}, cluster.Objects{Deadline: 3 * time.Second})
}

// TestCuts cuts instances off from each other under load, in one direction and in both.
func TestNetworkPartitions(t *testing.T) {
	tests := map[string][][2]string{
		"one direction":      {{finland, sweden}},
		"two regions apart":  {{finland, sweden}, {sweden, finland}},
		"a region alone":     {{finland, sweden}, {sweden, finland}, {finland, germany}, {germany, finland}},
		"all regions apart":  {{finland, sweden}, {sweden, finland}, {finland, germany}, {germany, finland}, {sweden, germany}, {germany, sweden}},
		"a circle, one way":  {{finland, sweden}, {sweden, germany}, {germany, finland}},
		"inside a region":    {{finland, finland}},
		"deaf, but can dial": {{sweden, finland}, {germany, finland}},
	}
	for name, cuts := range tests {
		t.Run(name, func(t *testing.T) {
			c := startLinkedCluster(t)
			set := func(on bool) {
				for _, cut := range cuts {
					if err := c.Cut(cut[0], cut[1], on); err != nil {
						t.Error(err)
					}
				}
			}
			runUnderLoad(t, c, load.Pwani, 13, func() {
				set(true)
				time.Sleep(3 * time.Second)
				set(false)
			})
			if !eventually(func() bool { return converged(c) }) {
				t.Error("the group is not whole again")
			}
		})
	}
}

// TestDomainLost loses all of a failure domain at once: its instances and the endpoint in it, which is the primary.
func TestDomainLost(t *testing.T) {
	c := startLinkedCluster(t)
	waitTermsReserved(t, c)
	runUnderLoad(t, c, load.Pwani, 17, func() {
		for n, i := range c.Instances {
			if i.Domain == finland {
				c.Instances[n].Process.Kill()
			}
		}
		if err := c.Groups[0].Fault(0, "killed", "true"); err != nil {
			t.Error(err)
		}
		if !eventually(func() bool { return primaryChanged(c, 0) }) {
			t.Error("no other endpoint became primary")
		}
		for n, i := range c.Instances {
			if i.Domain == finland {
				if err := c.StartInstance(n); err != nil {
					t.Error(err)
				}
			}
		}
		if err := c.Groups[0].Fault(0, "killed", "false"); err != nil {
			t.Error(err)
		}
	})
	if !eventually(func() bool { return converged(c) }) {
		t.Error("the group is not whole again")
	}
}

// TestCoordinatorPaused freezes the coordinator in the middle of its ballot and lets it go on when another has acted.
func TestCoordinatorPaused(t *testing.T) {
	c := startLinkedCluster(t)
	waitTermsReserved(t, c)
	runUnderLoad(t, c, load.Kelloviisari, 19, func() {
		if err := c.Groups[0].Fault(0, "killed", "true"); err != nil {
			t.Error(err)
		}
		paused := -1
		started := func() bool {
			for n, i := range c.Instances {
				if contains(i.Log(), "ballot started") {
					paused = n
					return true
				}
			}
			return false
		}
		if !eventually(started) {
			t.Error("no ballot started")
			return
		}
		c.Instances[paused].Process.Freeze()
		if !eventually(func() bool { return primaryChanged(c, 0) }) {
			t.Error("no other endpoint became primary")
		}
		time.Sleep(2 * time.Second)
		c.Instances[paused].Process.Thaw()
		if err := c.Groups[0].Fault(0, "killed", "false"); err != nil {
			t.Error(err)
		}
	})
	if !eventually(func() bool { return converged(c) }) {
		states, _ := c.Groups[0].States()
		t.Errorf("the group is not whole again: %+v", states)
	}
}

// TestStoreFaults loads the system while the platform is down or slow, and its list gone.
func TestStoreFaults(t *testing.T) {
	tests := map[string][2]string{
		"down": {"down", "true"}, "slow": {"slow", "2s"}, "list unavailable": {"without", "instances"},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, nil, cluster.Objects{})
			report := runUnderLoad(t, c, load.Kelloviisari, 23, func() {
				if err := c.StoreFault(fault[0], fault[1]); err != nil {
					t.Error(err)
				}
			})
			if len(report.Refusals) > 0 {
				t.Errorf("callers noticed: %+v", report.Refusals)
			}
		})
	}
}
