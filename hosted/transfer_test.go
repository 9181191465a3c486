package hosted

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskincove/directory"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/settings"
	"siskincove/standin/link"
)

const (
	// applyBound is within what time of its acknowledgement the users want a configuration to be in force.
	applyBound = 5 * time.Second
	// heartbeatBound is how long an instance waits for the answer to a heartbeat.
	heartbeatBound = 200 * time.Millisecond
	// linkBytesPerSecond is the capacity of the link of most of the users' machines.
	linkBytesPerSecond = 10_000_000 / 8
)

// largeConfiguration returns a version of the operator's configuration with a number of routes besides those of newDeployment.
func largeConfiguration(version, routes int) map[string]any {
	list := []map[string]any{{"name": "r1", "host": "main", "type": "primary", "service": "g", "timeout-ms": 4000, "priority": 1}}
	for n := range routes {
		name := fmt.Sprintf("%x", xxhash.Sum64String(fmt.Sprint(n)))
		list = append(list, map[string]any{
			"name": name, "host": "h" + name, "type": "read_your_writes", "service": "g", "timeout-ms": 800, "target-latency-ms": 500,
			"priority": 2, "max-staleness-ms": 2500,
		})
	}
	return map[string]any{
		"version": version, "routes": list, "services": []map[string]any{{"name": "g", "max-connections": 60, "sync-replicas": 1}},
		"limits": map[string]any{},
	}
}

// startProxy serves a proxy without delay until the test ends and returns its address.
func startProxy(t *testing.T) (*link.Proxy, string) {
	t.Helper()
	proxy := link.NewProxy(func(string, string) time.Duration { return 0 })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go proxy.Serve(t.Context(), listener)
	return proxy, listener.Addr().String()
}

// TestLargeConfigurationOverSlowLink guards against a configuration that never comes into force at an instance, since its transfer
// takes longer than a peer is waited for and starts from nothing each time.
func TestLargeConfigurationOverSlowLink(t *testing.T) {
	t.Parallel()
	const routes = 12_000
	proxy, address := startProxy(t)
	proxy.SetBandwidth("south/d", link.NewBandwidth(linkBytesPerSecond))
	d := newDeploymentConfigured(t, 1, func(s *settings.Settings) { s.Listen.Proxy = address })
	alone := d.startIn("127.0.0.1:1", "far", "south/d", d.instances[0].options.Settings.Listen.Peers)
	proxy.SetDomain(alone.options.Settings.Listen.Peers, "south/d")
	d.eventually("ready with the directory of a peer", alone.health.ready)
	d.store.Write("op", "config", largeConfiguration(10, routes))
	written := time.Now()
	d.eventually("large configuration in force", func() bool { return alone.directory.ConfigurationVersion() == 10 })
	if took := time.Since(written); took > applyBound {
		t.Errorf("in force after %s, want at most %s", took, applyBound)
	}
}

// TestLargeConfigurationFromSlowStore guards against a configuration that is never read from the store, since its row takes longer to
// arrive than a read may take.
func TestLargeConfigurationFromSlowStore(t *testing.T) {
	t.Parallel()
	const routes = 12_000
	d := newDeployment(t, 0)
	d.store.Write("op", "config", largeConfiguration(10, routes))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go link.Forward(listener, d.store.Address(), link.NewBandwidth(linkBytesPerSecond))
	started := time.Now()
	alone := d.startIn(listener.Addr().String(), "n0", "north/a")
	d.eventually("large configuration in force", func() bool { return alone.directory.ConfigurationVersion() == 10 })
	if took := time.Since(started); took > applyBound {
		t.Errorf("in force after %s, want at most %s", took, applyBound)
	}
}

// TestManyEndpointsOverSlowLink guards against an instance that never gets the endpoints of a large deployment from its peers, since
// they are sent whole within a fixed time.
func TestManyEndpointsOverSlowLink(t *testing.T) {
	t.Parallel()
	const endpoints = 6000
	proxy, address := startProxy(t)
	proxy.SetBandwidth("south/d", link.NewBandwidth(linkBytesPerSecond))
	d := newDeployment(t, 0)
	for n := range endpoints {
		d.store.Write("servers", fmt.Sprintf("i-%010x", n), map[string]any{
			"service": fmt.Sprintf("other%d", n/3), "address": fmt.Sprintf("10.%d.%d.1:5432", n/250, n%250), "zone": "a", "slots": 3,
			"state": "ready", "db-role": "replica", "born": 1_700_000_000_000 + n, "sequence": n,
			"cold-remaining-ms": 0, "version": "v1", "comment": fmt.Sprintf("%x", xxhash.Sum64String(fmt.Sprint(n))),
		})
	}
	d.configure = func(s *settings.Settings) { s.Listen.Proxy = address }
	first := d.start(0)
	d.eventually("ready", first.health.ready)
	started := time.Now()
	alone := d.startIn("127.0.0.1:1", "far", "south/d", first.options.Settings.Listen.Peers)
	proxy.SetDomain(alone.options.Settings.Listen.Peers, "south/d")
	d.eventually("all endpoints known", func() bool {
		return len(alone.directory.Offer(directory.Versions{}, false).Endpoints) >= endpoints
	})
	if took := time.Since(started); took > applyBound {
		t.Errorf("known after %s, want at most %s", took, applyBound)
	}
}

// slowPeer answers heartbeats, and nothing else before its context ends.
type slowPeer struct{ self *wire.Heartbeat }

func (p slowPeer) Serve(ctx context.Context, first *wire.Frame, stream peer.Stream) bool {
	if first.GetHeartbeat() != nil {
		return stream.Send(&wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: p.self}}) == nil
	}
	<-ctx.Done()
	return false
}

// TestHeartbeatDuringTransfer guards against a live instance that counts as dead, since it answers heartbeats only after it has
// received the newer configuration that they announce.
func TestHeartbeatDuringTransfer(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	listener, err := net.Listen("tcp", address()+":7102")
	if err != nil {
		t.Fatal(err)
	}
	own := listener.Addr().String()
	announcement := &wire.Heartbeat{Id: "slow", Address: own, Domain: "north/a", Incarnation: 1, Configuration: 1000, Settled: true}
	node := peer.New(t.Context(), peer.Options{
		Listener: listener, Self: own, Connector: peer.Connector{Domain: "north/a"}, Handler: slowPeer{announcement}, Logger: testLogger(),
	})
	for n := range 5 {
		ctx, cancel := context.WithTimeout(t.Context(), heartbeatBound)
		request := &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: announcement}}
		if _, err := peer.Call(ctx, node, d.instances[0].options.Settings.Listen.Peers, request); err != nil {
			t.Errorf("heartbeat %d: %v", n, err)
		}
		cancel()
	}
}

// newDeploymentConfigured is newDeployment with instances whose settings are changed by configure.
func newDeploymentConfigured(t *testing.T, instances int, configure func(s *settings.Settings)) *deployment {
	t.Helper()
	d := newDeployment(t, 0)
	d.configure = configure
	for n := range instances {
		d.start(n)
	}
	for _, i := range d.instances {
		d.eventually("ready", i.health.ready)
	}
	return d
}
