package cluster

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/instance"
)

// RunningInstance is an instance with its process and addresses.
type RunningInstance struct {
	ID      string
	Domain  string
	Process *Process
	// Callers, Peers and Health are the IP:port on which the instance listens for callers, peers and health checks.
	Callers      string
	Peers        string
	Health       string
	settingsFile string
	logFile      string
}

const settingsTemplate = `[instance]
id = %q
domain = %q

[listen]
callers = %q
peers = %q
health = %q
proxy = %q

[store]
address = %q

[token]
keys = ["a key for tests and experiments"]

[log]
level = %q

%s
`

func (c *Cluster) prepareInstance(n int, domain string) (*RunningInstance, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	id := fmt.Sprintf("i%02d", n)
	return &RunningInstance{
		ID: id, Domain: domain, Callers: addresses[0], Peers: addresses[1], Health: addresses[2],
		settingsFile: filepath.Join(c.options.Directory, id+".toml"), logFile: filepath.Join(c.options.Directory, id+".log"),
	}, nil
}

// writeSettings writes the settings file of instance n, counted from 0.
func (c *Cluster) writeSettings(n int) error {
	r := c.Instances[n]
	level := c.options.Level
	if level == "" {
		level = "info"
	}
	text := fmt.Sprintf(settingsTemplate, r.ID, r.Domain, r.Callers, r.Peers, r.Health, c.linkAddress, c.storeAddress, level, c.options.Settings)
	return errors.Wrap(os.WriteFile(r.settingsFile, []byte(text), 0o600), "write settings file")
}

// StartInstance starts instance n, counted from 0, for the first time or after it ended.
func (c *Cluster) StartInstance(n int) error {
	r := c.Instances[n]
	p, err := start(r.logFile, filepath.Join(c.options.Binaries, "siskincoved"), r.settingsFile)
	if err != nil {
		return err
	}
	r.Process = p
	return nil
}

// SettingsFile returns the path of the instance's settings file, for tests that change it before a restart.
func (r *RunningInstance) SettingsFile() string { return r.settingsFile }

// Status returns the instance's status page.
func (r *RunningInstance) Status() (instance.Status, error) {
	var s instance.Status
	err := getJSON(r.Health, "/status", &s)
	return s, err
}

// Log returns the instance's log so far, empty if it can't be read.
func (r *RunningInstance) Log() string {
	data, err := os.ReadFile(r.logFile)
	if err != nil {
		return ""
	}
	return string(data)
}

const pollInterval = 50 * time.Millisecond

// WaitReady waits until every running instance serves at least a revision and sees all other running ones.
func (c *Cluster) WaitReady(ctx context.Context, revision uint64) error {
	return pollReady(ctx, func() string { return c.whyNotReady(revision) })
}

// WaitUsable waits for WaitReady and then until, in every group, each endpoint has an owner and the primary accepts
// writes.
func (c *Cluster) WaitUsable(ctx context.Context, revision uint64) error {
	if err := c.WaitReady(ctx, revision); err != nil {
		return err
	}
	return pollReady(ctx, c.whyNotUsable)
}

// pollReady polls reason until it returns an empty string, or until ctx ends.
func pollReady(ctx context.Context, reason func() string) error {
	for {
		why := reason()
		if why == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("instances are not ready: %s", why)
		case <-time.After(pollInterval):
		}
	}
}

// whyNotUsable describes the first group with an endpoint without owner or without a usable primary, or an instance that
// does not report its status, and returns an empty string if there is none.
func (c *Cluster) whyNotUsable() string {
	owned, hasPrimary := make(map[string]int), make(map[string]bool)
	for _, r := range c.Instances {
		s, err := r.Status()
		if err != nil {
			return r.ID + ": " + err.Error()
		}
		for _, p := range s.Pools {
			if p.Responding {
				owned[p.Database]++
			}
			hasPrimary[p.Database] = hasPrimary[p.Database] || p.Role == "primary" && p.Established && p.Confirmable
		}
	}
	for _, g := range c.Groups {
		name := g.Options.Database
		if owned[name] < membersPerGroup || !hasPrimary[name] {
			return fmt.Sprintf("%s: %d endpoints owned, usable primary %t", name, owned[name], hasPrimary[name])
		}
	}
	return ""
}

// whyNotReady describes the first running instance that is not ready, and returns an empty string if there is none.
func (c *Cluster) whyNotReady(revision uint64) string {
	running := 0
	for _, r := range c.Instances {
		if r.Process != nil && !r.Process.Exited() {
			running++
		}
	}
	for _, r := range c.Instances {
		if r.Process == nil || r.Process.Exited() {
			continue
		}
		s, err := r.Status()
		if err != nil {
			return r.ID + ": " + err.Error()
		}
		if alive := countAlivePeers(s); !s.Ready || s.Revision < revision || alive < running-1 {
			return fmt.Sprintf("%s: ready=%t revision=%d peers=%d of %d", r.ID, s.Ready, s.Revision, alive, running-1)
		}
	}
	return ""
}

// countAlivePeers also counts suspect peers, which have not been declared dead.
func countAlivePeers(s instance.Status) int {
	alive := 0
	for _, p := range s.Peers {
		if p.State == "alive" || p.State == "suspect" {
			alive++
		}
	}
	return alive
}
