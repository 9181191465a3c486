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

// startLinkedCluster starts two instances in each of three regions. They connect to each other through a link that adds
// delay and can be cut.
func startLinkedCluster(t *testing.T) *cluster.Cluster {
	return startCluster(t, func(o *cluster.Options) {
		o.Domains = []string{finland, sweden, germany, finland, sweden, germany}
		o.Link, o.BetweenRegions = true, regionDelay
		o.Groups[0].BetweenRegions = regionDelay
	}, cluster.Objects{Deadline: 3 * time.Second})
}

// TestNetworkPartitions cuts the links between instances under load, in one direction and in both.
func TestNetworkPartitions(t *testing.T) {
	tests := map[string][][2]string{
		"one direction":           {{finland, sweden}},
		"two regions partitioned": {{finland, sweden}, {sweden, finland}},
		"one region isolated":     {{finland, sweden}, {sweden, finland}, {finland, germany}, {germany, finland}},
		"all regions partitioned": {{finland, sweden}, {sweden, finland}, {finland, germany}, {germany, finland}, {sweden, germany}, {germany, sweden}},
		"one-way ring":            {{finland, sweden}, {sweden, germany}, {germany, finland}},
		"inside a region":         {{finland, finland}},
		"can only dial out":       {{sweden, finland}, {germany, finland}},
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
				t.Error("the group did not converge")
			}
		})
	}
}

// TestDomainLost kills all instances and the endpoint of one failure domain at once; the endpoint is the primary.
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
		t.Error("the group did not converge")
	}
}

// TestCoordinatorPaused suspends the coordinator during its ballot and resumes it after another coordinator has replaced
// the primary.
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
		c.Instances[paused].Process.Suspend()
		if !eventually(func() bool { return primaryChanged(c, 0) }) {
			t.Error("no other endpoint became primary")
		}
		time.Sleep(2 * time.Second)
		c.Instances[paused].Process.Resume()
		if err := c.Groups[0].Fault(0, "killed", "false"); err != nil {
			t.Error(err)
		}
	})
	if !eventually(func() bool { return converged(c) }) {
		states, _ := c.Groups[0].States()
		t.Errorf("the group did not converge: %+v", states)
	}
}

// TestStoreFaults runs a load while the store is down, slow or without its instance list: callers get no errors.
func TestStoreFaults(t *testing.T) {
	tests := map[string][2]string{
		"down": {"down", "true"}, "slow": {"slow", "2s"}, "instance list unavailable": {"without", "instances"},
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
				t.Errorf("callers got errors: %+v", report.Refusals)
			}
		})
	}
}
