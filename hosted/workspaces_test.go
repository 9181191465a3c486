package hosted

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
)

// configureWorkspaces publishes a configuration with a workspace that holds the key of the stand-in's callers, and waits until all
// instances have it.
func (d *deployment) configureWorkspaces(version uint64, connections int) {
	d.t.Helper()
	d.store.Write("op", "config", map[string]any{
		"version":  version,
		"routes":   []map[string]any{{"name": "r1", "host": "main", "type": "primary", "service": "g", "timeout-ms": 4000}},
		"services": []map[string]any{{"name": "g", "max-connections": connections, "sync-replicas": 1}},
		"limits":   map[string]any{"tx-idle-ms": 2000},
		"tenants":  []map[string]any{{"name": "w1", "api-keys": []string{"u"}, "rate-per-s": 10000, "burst": 10000}},
	})
	for _, i := range d.instances {
		d.eventually("all instances have the configuration", func() bool { return i.directory.ConfigurationVersion() == version })
	}
}

// holdersOfPrimary returns the positions of the instances that hold connections to the primary.
func (d *deployment) holdersOfPrimary(running []int) []int {
	var out []int
	for _, n := range running {
		db, ok := d.instances[n].databases.Get("g")
		if !ok {
			continue
		}
		lead, _ := db.View().Lead()
		if _, holds := db.Held(lead.Endpoint); holds {
			out = append(out, n)
		}
	}
	return out
}

// readAtEach runs reads in a row at each of the instances, all at once, and returns how many connections ran them.
func (d *deployment) readAtEach(instances []int, prefix string, reads int) int {
	d.t.Helper()
	var wait sync.WaitGroup
	for _, n := range instances {
		c := d.dial(n, "main")
		wait.Go(func() {
			for q := range reads {
				r, err := c.Query(fmt.Sprintf("%s-%d-%d", prefix, n, q), "READ x")
				if err != nil || r.Code != "" {
					d.t.Errorf("read %d at instance %d: %s %v", q, n, r.Code, err)
					return
				}
			}
		})
	}
	wait.Wait()
	connections := make(map[int]bool)
	for _, run := range d.group.Runs() {
		if strings.HasPrefix(run.Request, prefix+"-") {
			connections[run.Conn] = true
		}
	}
	return len(connections)
}

// TestWorkspaceConnections answers the pattern of a workspace whose callers are at all instances: its statements meet at one holder
// and share its connections, and when that instance is lost the next holder serves them.
func TestWorkspaceConnections(t *testing.T) {
	t.Parallel()
	const instances, connections, inTurn = 7, 60, 5
	d := newDeploymentWith(t, instances, connections)
	running := []int{0, 1, 2, 3, 4, 5, 6}
	for _, i := range d.instances {
		d.eventually("all instances are known", func() bool { return i.instanceCount() == instances })
	}
	d.configureWorkspaces(4, connections)
	d.eventually("the primary has holders", func() bool { return len(d.holdersOfPrimary(running)) >= 2 })
	d.readAtEach(running[:1], "first", 1)
	used := 0
	for _, n := range running {
		used = d.readAtEach([]int{n}, "turn", inTurn)
	}
	if used != 1 {
		t.Errorf("reads of a workspace in a row used %d connections", used)
	}
	if got := d.readAtEach(running, "each", inTurn); got >= instances {
		t.Errorf("reads of a workspace at %d instances used %d connections", instances, got)
	}
	lost := d.holdersOfPrimary(running)[0]
	d.instances[lost].Close()
	running = slices.DeleteFunc(running, func(n int) bool { return n == lost })
	d.readAtEach(running, "after", inTurn)
	if refused := d.group.Refused(); refused > 0 {
		t.Errorf("%d connections were refused", refused)
	}
}
