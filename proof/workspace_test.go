package proof

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"siskincove/soak"
	"siskincove/standin/history"
	"siskincove/standin/hosting"
)

const (
	// revocationLimit is within which a withdrawn key must no longer be served.
	revocationLimit = 5 * time.Second
	// keysPhase is how long each configuration of the test of keys is in force.
	keysPhase = 3 * time.Second
)

// keyedConfiguration returns a version of the configuration in which each workspace has the keys; rates are beyond what the
// test asks.
func keyedConfiguration(version int, keys map[string][]string) map[string]any {
	c := hosting.Configuration(hosting.FirstVersion)
	tenants := make([]map[string]any, 0, len(keys))
	for name, held := range keys {
		tenants = append(tenants, map[string]any{"name": name, "api-keys": held, "priority": 1, "rate-per-s": 5000, "burst": 5000})
	}
	c["version"], c["tenants"] = version, tenants
	return c
}

// grantLog records which workspace held which key since when, as the test publishes it.
type grantLog struct{ grants []history.Grant }

// publish writes a configuration and records what it gives and takes.
func (l *grantLog) publish(p *soak.Deployment, version int, keys map[string][]string) {
	before := time.Now()
	if version > 3 {
		p.Store.Write("op", "config", keyedConfiguration(version, keys))
	}
	after := time.Now()
	for i := range l.grants {
		if g := &l.grants[i]; g.Until.IsZero() && !slices.Contains(keys[g.Workspace], g.Key) {
			g.Until = after
		}
	}
	for workspace, held := range keys {
		for _, key := range held {
			known := slices.ContainsFunc(l.grants, func(g history.Grant) bool { return g.Key == key && g.Workspace == workspace && g.Until.IsZero() })
			if !known {
				l.grants = append(l.grants, history.Grant{Key: key, Workspace: workspace, From: before})
			}
		}
	}
}

// TestKeys withdraws a key and moves another between workspaces while their callers are connected, and checks the history:
// every statement runs for the workspace that holds the key, and none with a withdrawn one.
func TestKeys(t *testing.T) {
	t.Parallel()
	first := map[string][]string{"blue": {"kept", "withdrawn", "moved"}, "red": {"other"}}
	second := map[string][]string{"blue": {"kept"}, "red": {"other", "moved"}}
	var log grantLog
	p := startPlatformClusterWith(t, keyedConfiguration(3, first))
	log.publish(p, 3, first)
	all := []string{"kept", "withdrawn", "moved", "other", "unknown"}
	for n := range p.Instances {
		for k, key := range all {
			for _, route := range []history.Route{soak.MainRoute, soak.OwnRoute} {
				random := rand.New(rand.NewPCG(uint64(n), uint64(10*k+len(route.Name))))
				p.Run(func() { p.RunSessions(n, route, key, random) })
			}
		}
	}
	time.Sleep(keysPhase)
	log.publish(p, 4, second)
	withdrawnAt := time.Now()
	time.Sleep(revocationLimit + keysPhase)
	p.StopSessions()
	w := history.Workspaces{Grants: log.grants, RevocationLimit: revocationLimit, Window: time.Second}
	h := p.History()
	h.Workspaces = w
	violations := history.Check(h)
	for _, line := range violations[:min(len(violations), 10)] {
		t.Error(line)
	}
	checkServed(t, h.Operations, withdrawnAt)
	for _, i := range p.Instances {
		if _, err := hosting.DialWithKey(i.Callers, "main", "withdrawn"); err == nil || !strings.Contains(err.Error(), "NOAUTH") {
			t.Errorf("session with a withdrawn key: %v", err)
		}
		for _, key := range all {
			if strings.Contains(i.Log(), fmt.Sprintf("=%s ", key)) {
				t.Errorf("key %q is in the log", key)
			}
		}
	}
	if t.Failed() {
		for _, i := range p.Instances {
			t.Logf("%s", tail(i.Log(), 40))
		}
	}
}

// checkServed checks that every valid key was served before and after the change, and the others were not.
func checkServed(t *testing.T, operations []history.Operation, changed time.Time) {
	t.Helper()
	before, after := make(map[string]int), make(map[string]int)
	for _, o := range operations {
		switch {
		case o.Result.Code != "":
		case o.Answered.Before(changed):
			before[o.Key]++
		case o.Sent.After(changed.Add(revocationLimit)):
			after[o.Key]++
		}
	}
	for _, key := range []string{"kept", "moved", "other"} {
		if before[key] == 0 || after[key] == 0 {
			t.Errorf("key %q: %d served before, %d after", key, before[key], after[key])
		}
	}
	if before["withdrawn"] == 0 || after["withdrawn"] > 0 || before["unknown"]+after["unknown"] > 0 {
		t.Errorf("served before %v, after %v", before, after)
	}
}
