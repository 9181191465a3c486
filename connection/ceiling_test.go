package connection

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/limit"
	"siskincove/verdict"
)

// fullDialer is an endpoint that has room for a few connections of this instance.
type fullDialer struct {
	countingDialer
	room int
	// refused is the number of connections refused, of which the endpoint resets each.
	refused int
}

func (d *fullDialer) Dial(ctx context.Context, target Target, limit time.Duration) (Conn, error) {
	d.mu.Lock()
	full := d.open >= d.room
	if full {
		d.refused++
	}
	d.mu.Unlock()
	if full {
		return nil, verdict.New(verdict.NotRun, verdict.TooManyConnections, "endpoint answered TOOMANY")
	}
	return d.countingDialer.Dial(ctx, target, limit)
}

func (d *fullDialer) DialOver(ctx context.Context, target Target, _ net.Conn) (Conn, error) {
	return d.Dial(ctx, target, 0)
}

// TestEndpointFull is the load after a loss of power or while holders differ: an endpoint counts connections of others, so that it
// refuses most of a holder's. The holder's statements, of more workspaces than it has connections, share those that it has, and
// few attempts are refused.
func TestEndpointFull(t *testing.T) {
	const (
		duration   = 2 * time.Second
		interval   = 15 * time.Millisecond
		workspaces = 6
	)
	for name, room := range map[string]int{"some room": 2, "no room": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fullDialer{countingDialer: countingDialer{delay: 5 * time.Millisecond}, room: room}
				p := New(Options{Dialer: d, Clock: clock.System{}, Logger: event.Discard(), Limit: 12, InFlight: 6, ByWorkspace: true})
				var wait sync.WaitGroup
				var mu sync.Mutex
				served, slowest := 0, time.Duration(0)
				statements := int(duration / interval)
				for n := range statements {
					time.Sleep(interval)
					wait.Go(func() {
						started := time.Now()
						h, err := p.Acquire(t.Context(), Demand{
							Class: limit.Class{Name: "main"}, Workspace: fmt.Sprint(n * 7 % workspaces), Deadline: started.Add(800 * time.Millisecond),
						})
						mu.Lock()
						defer mu.Unlock()
						slowest = max(slowest, time.Since(started))
						if err != nil {
							return
						}
						served++
						time.AfterFunc(5*time.Millisecond, func() { p.Release(h, true, 5*time.Millisecond) })
					})
				}
				wait.Wait()
				t.Logf("%d of %d statements served, the slowest decision after %s, %d connections refused", served, statements, slowest, d.refused)
				if most := int(duration/maxRedialPause) + 4; d.refused > most {
					t.Errorf("the endpoint refused %d connections, want at most %d", d.refused, most)
				}
				if room > 0 && served < statements*9/10 {
					t.Errorf("%d of %d statements served, want nine of ten", served, statements)
				}
				if room == 0 && slowest > 0 {
					t.Errorf("a statement waited %s for an endpoint without room", slowest)
				}
				time.Sleep(time.Second)
				p.Close()
			})
		})
	}
}
