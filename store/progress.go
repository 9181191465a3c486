package store

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxExtension bounds a call with progress to this many times its timeout.
const maxExtension = 10

type progressKey struct{}

// progress is the time limit of a context that bytes of an answer extend.
type progress struct {
	outer   *progress
	timeout time.Duration
	limit   time.Time

	mu    sync.Mutex
	timer *time.Timer
}

// WithProgress returns a context that ends with context.DeadlineExceeded once no bytes of an answer have arrived for a time, which
// suits a read whose answer may be large. Contexts with progress that it is derived from are extended too.
func WithProgress(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	outer, _ := ctx.Value(progressKey{}).(*progress)
	ctx, cancel := context.WithCancelCause(ctx)
	p := &progress{outer: outer, timeout: timeout, limit: time.Now().Add(maxExtension * timeout)}
	p.timer = time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	stop := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.timer.Stop()
		p.limit = time.Time{}
		cancel(context.Canceled)
	}
	return progressContext{context.WithValue(ctx, progressKey{}, p)}, stop
}

// extend gives a call its whole timeout again, unless it has ended or taken too long.
func (p *progress) extend() {
	for ; p != nil; p = p.outer {
		p.mu.Lock()
		if remaining := time.Until(p.limit); remaining > 0 && p.timer.Stop() {
			p.timer.Reset(min(p.timeout, remaining))
		}
		p.mu.Unlock()
	}
}

// progressContext is a context whose error is that of its cause.
type progressContext struct{ context.Context }

// Err returns context.DeadlineExceeded if no bytes arrived in time.
func (c progressContext) Err() error {
	err := c.Context.Err()
	if err != nil && errors.Is(context.Cause(c.Context), context.DeadlineExceeded) {
		return context.DeadlineExceeded
	}
	return err
}

// progressReader extends the progress of a call by what it reads.
type progressReader struct {
	reader   io.Reader
	progress *progress
}

// ProgressReader returns a reader of an answer whose bytes extend the time of a context of WithProgress.
func ProgressReader(ctx context.Context, r io.Reader) io.Reader {
	p, ok := ctx.Value(progressKey{}).(*progress)
	if !ok {
		return r
	}
	return progressReader{r, p}
}

// Read implements io.Reader.
func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.progress.extend()
	}
	return n, err
}
