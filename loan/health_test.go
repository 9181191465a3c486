package loan

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/connection"
	"siskincove/event"
	"siskincove/member"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/statement"
)

// peers are holders reached over pipes; those in silent accept streams but never answer, as behind a partition.
type peers struct {
	silent map[string]bool
	// delay is how long a holder that is not silent takes to answer.
	delay time.Duration
	mu    sync.Mutex
	// exchanges counts the exchanges that reached each holder.
	exchanges map[string]int
}

func (p *peers) count(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exchanges[address]
}

func (p *peers) Open(ctx context.Context, address string) (peer.Stream, error) {
	borrowerEnd, holderEnd := peer.Pipe(ctx)
	go func() {
		for {
			frame, err := holderEnd.Receive()
			if err != nil {
				return
			}
			if frame.GetSteps() == nil {
				continue
			}
			p.mu.Lock()
			p.exchanges[address]++
			p.mu.Unlock()
			if p.silent[address] {
				continue
			}
			time.Sleep(p.delay)
			results := make([]*wire.Result, len(frame.GetSteps().GetSteps()))
			for i := range results {
				results[i] = &wire.Result{}
			}
			if holderEnd.Send(&wire.Frame{Body: &wire.Frame_Results{Results: &wire.Results{Results: results}}}) != nil {
				return
			}
		}
	}()
	return borrowerEnd, nil
}

// TestSilentHolder guards against a partition between instances that slows the callers of all databases: each statement was
// sent to the same holder again and waited there until its attempt's deadline, although other holders answered.
func TestSilentHolder(t *testing.T) {
	const attempt = 250 * time.Millisecond
	tests := map[string]struct {
		silent map[string]bool
		delay  time.Duration
		// late is how many of 20 statements may end without an answer.
		late int
	}{
		"first holder silent": {silent: map[string]bool{"h1": true}, late: 1},
		// Each is tried again once, while the other one is waited for.
		"two of three silent":       {silent: map[string]bool{"h1": true, "h2": true}, late: 4},
		"holders answer":            {late: 0},
		"endpoint slow, not silent": {delay: attempt + answerGrace/2, late: 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				p := &peers{silent: test.silent, delay: test.delay, exchanges: make(map[string]int)}
				dialer := Dialer{
					Context: ctx, Clock: clock.System{}, Logger: event.Discard(), Peers: p, OnUnreachable: func(string) {}, OnSilence: func() {},
					Health: NewHealth(clock.System{}),
					Holders: func(connection.Target) []member.Instance {
						return []member.Instance{{ID: "h1", Address: "h1"}, {ID: "h2", Address: "h2"}, {ID: "h3", Address: "h3"}}
					},
				}
				late := 0
				for n := range 20 {
					// Each statement is for another endpoint; what one learns of a holder serves the others.
					conn, err := dialer.Dial(ctx, connection.Target{Endpoint: config.Endpoint{Name: fmt.Sprintf("e%d", n), Database: "d"}}, time.Second)
					if err != nil {
						t.Fatal(err)
					}
					if _, err := conn.Exchange(ctx, time.Now().Add(attempt), statement.ProxyStep(statement.Status)); err != nil {
						late++
						time.Sleep(answerGrace + time.Millisecond)
					}
					conn.Close()
				}
				if late > test.late {
					t.Errorf("%d statements of 20 were not answered, want at most %d", late, test.late)
				}
				if test.delay > 0 && p.count("h1") != 20 {
					t.Errorf("a holder whose endpoint is slow got %d of 20 statements", p.count("h1"))
				}
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}

// TestSilence guards against a holder that is not asked again after it is back, and against pauses that exchanges which
// end together lengthen.
func TestSilence(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		at   []time.Duration
		want time.Duration
	}{
		"once":                     {at: []time.Duration{0}, want: minSilencePause},
		"several at the same time": {at: []time.Duration{0, time.Millisecond, 2 * time.Millisecond}, want: minSilencePause},
		"again after the pause":    {at: []time.Duration{0, minSilencePause}, want: 3 * minSilencePause},
		"pauses are bounded":       {at: []time.Duration{0, time.Minute, 2 * time.Minute, 3 * time.Minute, 4 * time.Minute}, want: 4*time.Minute + maxSilencePause},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s silence
			for _, at := range test.at {
				s = s.withSilence(start.Add(at))
			}
			if diff := cmp.Diff(test.want, s.until.Sub(start)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestRefusingHolder guards against statements that ask the same holder again and again for an endpoint that it does not
// hold, because its view of the instances differs; it may still be asked for others.
func TestRefusingHolder(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	h := NewHealth(clk)
	h.add("h1", &Conn{})
	h.recordRefusal("h1", "e1")
	tests := map[string]struct {
		after    time.Duration
		endpoint string
		want     bool
	}{
		"at once":        {endpoint: "e1", want: false},
		"other endpoint": {endpoint: "e2", want: true},
		"later":          {after: refusalPause, endpoint: "e1", want: true},
	}
	for _, name := range []string{"at once", "other endpoint", "later"} {
		test := tests[name]
		t.Run(name, func(t *testing.T) {
			clk.Advance(test.after)
			if diff := cmp.Diff(test.want, h.MayAsk("h1", test.endpoint)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
