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

// RunningInstance is a started instance.
type RunningInstance struct {
	ID      string
	Domain  string
	Process *Process
	Callers string
	Peers   string
	Health  string
	file    string
	log     string
}

const settingsText = `[instance]
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
		file: filepath.Join(c.options.Directory, id+".toml"), log: filepath.Join(c.options.Directory, id+".log"),
	}, nil
}

// writeSettings writes the n-th instance's settings file.
func (c *Cluster) writeSettings(n int) error {
	r := c.Instances[n]
	level := c.options.Level
	if level == "" {
		level = "info"
	}
	text := fmt.Sprintf(settingsText, r.ID, r.Domain, r.Callers, r.Peers, r.Health, c.proxy, c.store, level, c.options.Settings)
	return errors.Wrap(os.WriteFile(r.file, []byte(text), 0o600), "settings")
}

// StartInstance starts the n-th instance, also again after it was ended.
func (c *Cluster) StartInstance(n int) error {
	r := c.Instances[n]
	p, err := start(r.log, filepath.Join(c.options.Binaries, "siskincoved"), r.file)
	if err != nil {
		return err
	}
	r.Process = p
	return nil
}

// SettingsFile returns the instance's settings file, for tests that change it before a restart.
func (r *RunningInstance) SettingsFile() string { return r.file }

// Status asks an instance what it serves.
func (r *RunningInstance) Status() (instance.Status, error) {
	var s instance.Status
	err := get(r.Health, "/status", &s)
	return s, err
}

// Log returns what the instance has logged so far.
func (r *RunningInstance) Log() string {
	data, err := os.ReadFile(r.log)
	if err != nil {
		return ""
	}
	return string(data)
}

const readyPause = 50 * time.Millisecond

// WaitReady returns once every instance that runs serves at least a revision and sees all other running ones.
func (c *Cluster) WaitReady(ctx context.Context, revision uint64) error {
	return wait(ctx, func() string { return c.notReady(revision) })
}

// WaitUsable returns once, beyond WaitReady, every group has an owner for each endpoint and a primary that takes writes.
func (c *Cluster) WaitUsable(ctx context.Context, revision uint64) error {
	if err := c.WaitReady(ctx, revision); err != nil {
		return err
	}
	return wait(ctx, c.notUsable)
}

// wait returns once nothing is missing any more.
func wait(ctx context.Context, missing func() string) error {
	for {
		text := missing()
		if text == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("instances are not ready: %s", text)
		case <-time.After(readyPause):
		}
	}
}

func (c *Cluster) notUsable() string {
	owned, led := make(map[string]int), make(map[string]bool)
	for _, r := range c.Instances {
		s, err := r.Status()
		if err != nil {
			return r.ID + ": " + err.Error()
		}
		for _, p := range s.Pools {
			if p.Answers {
				owned[p.Database]++
			}
			led[p.Database] = led[p.Database] || p.Role == "primary" && p.Established && p.Confirmable
		}
	}
	for _, g := range c.Groups {
		name := g.Options.Database
		if owned[name] < membersPerGroup || !led[name] {
			return fmt.Sprintf("%s: %d endpoints owned, usable primary %t", name, owned[name], led[name])
		}
	}
	return ""
}

func (c *Cluster) notReady(revision uint64) string {
	running := 0
	for _, r := range c.Instances {
		if r.Process != nil && !r.Process.Ended() {
			running++
		}
	}
	for _, r := range c.Instances {
		if r.Process == nil || r.Process.Ended() {
			continue
		}
		s, err := r.Status()
		if err != nil {
			return r.ID + ": " + err.Error()
		}
		if alive := alivePeers(s); !s.Ready || s.Revision < revision || alive < running-1 {
			return fmt.Sprintf("%s: ready=%t revision=%d peers=%d of %d", r.ID, s.Ready, s.Revision, alive, running-1)
		}
	}
	return ""
}

func alivePeers(s instance.Status) int {
	alive := 0
	for _, p := range s.Peers {
		if p.State == "alive" || p.State == "suspect" {
			alive++
		}
	}
	return alive
}
