// Command harness runs the scripts of this review: the system's own processes against small stand-ins of its callers, its
// backends and its platform, all on loopback.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a script.
const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

// world is what a script runs in.
type world struct {
	record  *recorder
	ledger  *ledger
	store   *store
	group   *group
	fleet   *fleet
	trouble bool
}

var zones = []string{"a", "b", "c"}

// scripts are the cases by name. Each returns the number of times that the rule was broken.
var scripts = map[string]func(*world) (int, error){"grey": grey, "lead": lead, "packets": packets, "entry": foreignEntry}

func main() {
	if len(os.Args) != 4 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE ROOT RECORD")
		os.Exit(couldNotRun)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	}
	os.Exit(play(scripts[os.Args[1]], root, os.Args[3]))
}

func play(script func(*world) (int, error), root, path string) int {
	r, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer r.close()
	w := &world{record: r, ledger: &ledger{attempts: map[string]attempt{}}, store: startStore(), trouble: os.Getenv("TROUBLE") != "0"}
	// Like the small sites there are three services with three backends each. The scripts use the first one.
	groups := make(map[string]*group)
	for i, name := range []string{"certstore", "certstore2", "certstore3"} {
		groups[name] = startGroup(w.store, r, name, i, zones)
	}
	w.group = groups["certstore"]
	promoter := startPromotion(r, groups)
	w.configure()
	w.fleet, err = startFleet(r, root, zones, w.store.address(), promoter.address())
	defer func() { w.fleet.stop(os.Getenv("KEEP_LOGS")) }()
	var found int
	if err == nil {
		time.Sleep(2 * time.Second)
		found, err = script(w)
	}
	if err != nil {
		r.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	r.line("the rule was broken %d times", found)
	fmt.Printf("trouble %t: the rule was broken %d times\n", w.trouble, found)
	if found > 0 {
		return broken
	}
	return held
}

// configure writes the operator's configuration: a route of each type to the one service, with the figures of the small sites.
func (w *world) configure() {
	w.store.write("op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-1", "host": "signoff", "prefix": "/", "type": "primary", "timeout-ms": 1000, "target-latency-ms": 400, "priority": 1, "service": w.group.name},
			{"name": "r-2", "host": "lookup", "prefix": "/", "type": "bounded_staleness", "timeout-ms": 3000, "target-latency-ms": 1000, "priority": 2, "service": w.group.name, "max-staleness-ms": 1500},
			{"name": "r-3", "host": "audit", "prefix": "/", "type": "read_your_writes", "timeout-ms": 1000, "target-latency-ms": 800, "priority": 2, "service": w.group.name, "max-staleness-ms": 2500},
		},
		"services": []map[string]any{
			{"name": "certstore", "health-path": "/health", "max-connections": 79, "protocol": "h1", "tls": false, "sync-replicas": 1},
			{"name": "certstore2", "health-path": "/health", "max-connections": 79, "protocol": "h1", "tls": false, "sync-replicas": 1},
			{"name": "certstore3", "health-path": "/health", "max-connections": 79, "protocol": "h1", "tls": false, "sync-replicas": 1},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000, "tx-idle-ms": 3000},
	})
}
