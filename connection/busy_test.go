package connection

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"siskincove/verdict"
)

// TestTooLateIsOverload checks that a pool which is busy opening connections does not claim that the endpoint can't be reached.
func TestTooLateIsOverload(t *testing.T) {
	tests := map[string]struct {
		dialer Dialer
		// busy is set if another workspace's connection is being opened.
		busy bool
	}{
		"waits for its turn": {dialer: &countingDialer{delay: 300 * time.Millisecond}, busy: true},
		"dial is cut short":  {dialer: &fakeDialer{silent: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newWorkspacePool(test.dialer, 4, 4)
				defer p.Close()
				if test.busy {
					go func() { _, _ = p.Acquire(t.Context(), demandOf("a")) }()
					synctest.Wait()
				}
				for range 4 {
					d := demandOf("b")
					d.Deadline = time.Now().Add(60 * time.Millisecond)
					_, err := p.Acquire(t.Context(), d)
					var got *verdict.Error
					if !errors.As(err, &got) || got.Verdict != verdict.NotRun || got.Reason != verdict.Overload || got.RetryAfter <= 0 {
						t.Errorf("error is %v, want overload with a time to retry after", err)
					}
				}
				if p.circuit.Failed() {
					t.Error("lack of time opened the circuit")
				}
				time.Sleep(time.Second)
			})
		})
	}
}
