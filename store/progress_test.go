package store

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// slowReader returns a byte after each of some pauses.
type slowReader struct {
	ctx    context.Context
	pauses []time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	if len(r.pauses) == 0 {
		return 0, io.EOF
	}
	pause := r.pauses[0]
	r.pauses = r.pauses[1:]
	select {
	case <-time.After(pause):
		return copy(p, "x"), nil
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
}

// TestProgress guards against large answers that are cut off although they arrive, and against calls that wait for ever.
func TestProgress(t *testing.T) {
	const timeout = time.Second
	steady := func(n int, pause time.Duration) (out []time.Duration) {
		for range n {
			out = append(out, pause)
		}
		return out
	}
	tests := map[string]struct {
		pauses []time.Duration
		outer  time.Duration
		want   error
		took   time.Duration
	}{
		"at once":                       {steady(1, 0), 0, nil, 0},
		"longer than the timeout":       {steady(5, 900*time.Millisecond), 0, nil, 4500 * time.Millisecond},
		"no answer":                     {steady(1, time.Hour), 0, context.DeadlineExceeded, timeout},
		"stops in the middle":           {append(steady(2, 500*time.Millisecond), time.Hour), 0, context.DeadlineExceeded, 2 * timeout},
		"a byte now and then for ever":  {steady(1000, 500*time.Millisecond), 0, context.DeadlineExceeded, maxExtension * timeout},
		"outer one is extended too":     {steady(5, 500*time.Millisecond), 700 * time.Millisecond, nil, 2500 * time.Millisecond},
		"outer one ends before":         {steady(5, 900*time.Millisecond), 700 * time.Millisecond, context.DeadlineExceeded, 700 * time.Millisecond},
		"outer one bounds the whole":    {steady(50, 200*time.Millisecond), 300 * time.Millisecond, context.DeadlineExceeded, 3 * time.Second},
		"outer one has no bound at all": {steady(50, 100*time.Millisecond), time.Hour, nil, 5 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				if test.outer > 0 {
					var cancel context.CancelFunc
					ctx, cancel = WithProgress(ctx, test.outer)
					defer cancel()
				}
				ctx, cancel := WithProgress(ctx, timeout)
				defer cancel()
				started := time.Now()
				_, err := io.ReadAll(ProgressReader(ctx, &slowReader{ctx, test.pauses}))
				if !errors.Is(err, test.want) {
					t.Errorf("%v, want %v", err, test.want)
				}
				if diff := cmp.Diff(test.took, time.Since(started)); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestProgressCanceled checks that a call that is given up is not taken for one that was too slow.
func TestProgressCanceled(t *testing.T) {
	parent, cancelParent := context.WithCancel(t.Context())
	ctx, cancel := WithProgress(parent, time.Hour)
	defer cancel()
	cancelParent()
	<-ctx.Done()
	if diff := cmp.Diff(context.Canceled, ctx.Err(), cmp.Comparer(errors.Is)); diff != "" {
		t.Error(diff)
	}
}
