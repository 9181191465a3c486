package freshness

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"siskincove/clock"
	"siskincove/event"
)

// answering are sources whose peers have a proof of the present while answers is set.
type answering struct {
	keeper  *Keeper
	clock   clock.Service
	answers atomic.Bool
}

func (*answering) Rank() (int, bool)              { return Provers, false }
func (*answering) Peers() []string                { return []string{"peer"} }
func (*answering) Split() bool                    { return false }
func (*answering) AskStore(context.Context) error { return context.Canceled }

func (a *answering) AskPeer(context.Context, string) error {
	if !a.answers.Load() {
		return context.DeadlineExceeded
	}
	a.keeper.RecordReply()
	a.keeper.Record(Proof{Version: 1, At: a.clock.Now()})
	return nil
}

// shifted is a clock that a suspension moves forward.
type shifted struct {
	clock.Boot
	by atomic.Int64
}

func (s *shifted) Now() time.Time { return s.Boot.Now().Add(time.Duration(s.by.Load())) }

// TestWakes guards against an instance that serves withdrawn keys when it wakes from a suspension, against one that refuses its callers
// although a peer proves the configuration within milliseconds, and against one that lets them wait when no peer does.
func TestWakes(t *testing.T) {
	tests := map[string]struct {
		answers bool
		longest time.Duration
	}{
		"peers answer":    {true, renewWait},
		"no peer answers": {false, 3 * renewWait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clk := &shifted{}
			sources := &answering{clock: clk}
			sources.answers.Store(true)
			k := New(Options{
				Clock: clk, Logger: event.Discard(), Withdrawal: func() time.Duration { return 5 * time.Second }, InForce: func() uint64 { return 1 },
				Sources: sources, OnIsolated: func(bool) {},
			})
			sources.keeper = k
			ctx, cancel := context.WithCancel(context.Background())
			k.Start(ctx)
			defer func() {
				cancel()
				<-k.Done()
			}()
			for end := time.Now().Add(5 * time.Second); k.Check() != nil && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			sources.answers.Store(test.answers)
			clk.by.Add(int64(6 * time.Second))
			started := time.Now()
			if refused := k.Check(); (refused == nil) != test.answers {
				t.Errorf("refused: %v", refused)
			}
			if took := time.Since(started); took > test.longest {
				t.Errorf("answered after %s", took)
			}
			if test.answers {
				return
			}
			time.Sleep(2 * renewWait)
			started = time.Now()
			if k.Check() == nil {
				t.Error("accepted without a proof")
			}
			if took := time.Since(started); took > renewWait/2 {
				t.Errorf("refused after %s although no proof is expected", took)
			}
		})
	}
}
