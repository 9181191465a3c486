package simulation

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"siskincove/connection"
	"siskincove/database"
	"siskincove/limit"
	"siskincove/member"
	"siskincove/statement"
)

const (
	// workspaceCount workspaces share an endpoint; the k-th largest has a share of the load in proportion to k^-workspaceSkew.
	workspaceCount = 87
	workspaceSkew  = 1.2
	// workspaceConnections and workspaceSlots are the endpoint's limits.
	workspaceConnections = 112
	workspaceSlots       = 4
	workspaceWork        = "18"
	// workspaceRate is the number of statements a second, about 0.4 of what the slots can run.
	workspaceRate = 90
)

// skewedWorkspaces draws workspaces.
type skewedWorkspaces struct {
	random *rand.Rand
	// upTo is the share of the load of each workspace and all larger ones.
	upTo []float64
}

func newSkewedWorkspaces(seed uint64) skewedWorkspaces {
	s := skewedWorkspaces{random: rand.New(rand.NewPCG(seed, 5))}
	total := 0.0
	for k := range workspaceCount {
		total += math.Pow(float64(k+1), -workspaceSkew)
		s.upTo = append(s.upTo, total)
	}
	return s
}

func (s skewedWorkspaces) draw() string {
	x := s.random.Float64() * s.upTo[len(s.upTo)-1]
	n, _ := slices.BinarySearch(s.upTo, x)
	return fmt.Sprint("w", n)
}

// workspaceHolders are the holders of an endpoint whose connections belong to workspaces.
type workspaceHolders struct {
	holders
	instances []member.Instance
	lost      map[string]bool
}

func newWorkspaceHolders(ctx context.Context, e *Endpoint) workspaceHolders {
	share := database.DivideByWorkspace(workspaceConnections, workspaceSlots, 144, func(most int) int { return most })
	h := workspaceHolders{holders: newHolders(ctx, e, share), lost: make(map[string]bool)}
	for n := range h.pools {
		h.instances = append(h.instances, member.Instance{ID: fmt.Sprint(n)})
	}
	return h
}

// pool returns the pool of the first holder for a workspace.
func (h workspaceHolders) pool(workspace string) *connection.Pool {
	for _, ranked := range member.Rank(workspace+"/e", h.instances) {
		if !h.lost[ranked.ID] {
			return h.pools[slices.Index(h.instances, ranked)]
		}
	}
	return nil
}

// runAt runs a statement of a workspace at a holder and returns how long it took, and whether it was served.
func runAt(ctx context.Context, pool *connection.Pool, workspace string) (time.Duration, bool) {
	started := time.Now()
	deadline := started.Add(800 * time.Millisecond)
	conn, err := pool.Acquire(ctx, connection.Demand{Workspace: workspace, Class: limit.Class{Name: "1", Weight: 1}, Deadline: deadline})
	if err != nil {
		return time.Since(started), false
	}
	sent := time.Now()
	answers, err := conn.Exchange(ctx, deadline, statement.Step{Request: statement.Request{ID: "r", Kind: statement.Read, Text: workspaceWork}})
	pool.Release(conn, err == nil, time.Since(sent))
	return time.Since(started), err == nil && answers[0].Failure == nil
}

// workspaceLoad is a load of skewed workspaces on an endpoint, and what came of it from a time on.
type workspaceLoad struct {
	took             []time.Duration
	served, unserved int
}

// runWorkspaceLoad runs statements for the given time. It calls events at their times and removes them, and measures the statements
// that arrive after warmUp.
func runWorkspaceLoad(ctx context.Context, h workspaceHolders, duration, warmUp time.Duration, events map[time.Duration]func()) workspaceLoad {
	var mu sync.Mutex
	var out workspaceLoad
	var running sync.WaitGroup
	workspaces := newSkewedWorkspaces(1)
	for started := time.Now(); time.Since(started) < duration; {
		for at, trigger := range events {
			if time.Since(started) >= at {
				trigger()
				delete(events, at)
			}
		}
		workspace, measured := workspaces.draw(), time.Since(started) >= warmUp
		pool := h.pool(workspace)
		running.Go(func() {
			took, served := runAt(ctx, pool, workspace)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !measured:
			case served:
				out.served++
				out.took = append(out.took, took)
			default:
				out.unserved++
			}
		})
		time.Sleep(time.Duration(workspaces.random.ExpFloat64() / workspaceRate * float64(time.Second)))
	}
	running.Wait()
	slices.Sort(out.took)
	return out
}

// opened returns the number of connections opened so far.
func (e *Endpoint) opened() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Opened
}

func newWorkspaceEndpoint() *Endpoint {
	e := &Endpoint{Name: "e", Slots: workspaceSlots, QueueLimit: 32, Handshake: 12 * time.Millisecond, RoundTrip: time.Millisecond}
	e.start(&Group{Endpoints: []*Endpoint{e}}, 1)
	return e
}

// TestSkewedWorkspaces answers the pattern of many workspaces of very different load at an endpoint that has room for one connection
// of each: in a steady state nine of ten statements find a connection, the endpoint's limit is never reached, and nobody waits long
// for connections that others leave idle.
func TestSkewedWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duration, warmUp = 40 * time.Second, 15 * time.Second
		e := newWorkspaceEndpoint()
		h := newWorkspaceHolders(t.Context(), e)
		openedBefore := 0
		load := runWorkspaceLoad(t.Context(), h, duration, warmUp, map[time.Duration]func(){warmUp: func() { openedBefore = e.opened() }})
		hitRate := 1 - float64(e.opened()-openedBefore)/float64(load.served)
		t.Logf("%d statements served, hit rate %.3f, p50 %s, p99 %s, at most %d connections open", load.served, hitRate,
			quantile(load.took, 0.5), quantile(load.took, 0.99), e.MostOpen)
		if load.unserved > 0 || hitRate < 0.9 {
			t.Errorf("hit rate %.3f, %d statements were not served", hitRate, load.unserved)
		}
		if p99 := quantile(load.took, 0.99); p99 > 250*time.Millisecond {
			t.Errorf("the slowest hundredth of the statements took %s", p99)
		}
		if e.MostOpen > workspaceConnections-4 {
			t.Errorf("%d connections were open at once, beside a reserve of 4 of %d", e.MostOpen, workspaceConnections)
		}
	})
}

// TestHolderLost answers the pattern of a holder that is lost while its connections still count at the endpoint: the next holders
// in order serve its workspaces, with connections that they open beside their own, and stay within the endpoint's limit.
func TestHolderLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lostAt, duration = 15 * time.Second, 25 * time.Second
		e := newWorkspaceEndpoint()
		h := newWorkspaceHolders(t.Context(), e)
		load := runWorkspaceLoad(t.Context(), h, duration, lostAt, map[time.Duration]func(){lostAt: func() { h.lost["0"] = true }})
		t.Logf("%d statements served, p50 %s, p99 %s, at most %d connections open", load.served, quantile(load.took, 0.5),
			quantile(load.took, 0.99), e.MostOpen)
		if load.unserved > 0 {
			t.Errorf("%d statements were not served after the loss of a holder", load.unserved)
		}
		if p99 := quantile(load.took, 0.99); p99 > 250*time.Millisecond {
			t.Errorf("the slowest hundredth of the statements took %s after the loss of a holder", p99)
		}
		if e.MostOpen > workspaceConnections-4 {
			t.Errorf("%d connections were open at once, beside a reserve of 4 of %d", e.MostOpen, workspaceConnections)
		}
	})
}

// TestConnectionsReset answers the pattern of an endpoint that closes all connections at once: each workspace's next statement
// opens one again, and the endpoint's slots are not taken by opening those that nobody needs yet.
func TestConnectionsReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const resetAt, duration = 15 * time.Second, 17 * time.Second
		e := newWorkspaceEndpoint()
		h := newWorkspaceHolders(t.Context(), e)
		reset := func() {
			e.SetDown(true)
			e.SetDown(false)
		}
		// The statements that run while the connections are reset are lost.
		load := runWorkspaceLoad(t.Context(), h, duration, resetAt+100*time.Millisecond, map[time.Duration]func(){resetAt: reset})
		t.Logf("%d statements served, p50 %s, p99 %s", load.served, quantile(load.took, 0.5), quantile(load.took, 0.99))
		if load.unserved > 0 {
			t.Errorf("%d statements were not served after the reset", load.unserved)
		}
		if p99 := quantile(load.took, 0.99); p99 > 250*time.Millisecond {
			t.Errorf("the slowest hundredth of the statements took %s after the reset", p99)
		}
	})
}
