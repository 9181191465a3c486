package load

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

// Probe writes to one route at short intervals and measures the longest time without an acknowledged write.
type Probe struct {
	options Options
	route   string
	done    chan struct{}

	mu          sync.Mutex
	lastSuccess time.Time
	longestGap  time.Duration
}

const (
	probeTimeout  = 1500 * time.Millisecond
	probeSessions = 8
)

// NewProbe starts a probe of a route; it stops when ctx ends.
func NewProbe(ctx context.Context, o Options, route string) *Probe {
	p := &Probe{options: o, route: route, done: make(chan struct{}), lastSuccess: time.Now()}
	go p.runSessions(ctx)
	return p
}

// Done returns a channel that is closed when the probe has stopped.
func (p *Probe) Done() <-chan struct{} { return p.done }

// runSessions writes from several sessions at once, so that one that waits for an answer does not hide the success of others.
func (p *Probe) runSessions(ctx context.Context) {
	defer close(p.done)
	var sessions sync.WaitGroup
	for n := range probeSessions {
		sessions.Go(func() { p.writeLoop(ctx, n) })
	}
	sessions.Wait()
}

func (p *Probe) writeLoop(ctx context.Context, n int) {
	var conn *pgx.Conn
	instance := n
	ticker := time.NewTicker(p.options.Probe * probeSessions)
	defer ticker.Stop()
	for {
		var ok bool
		conn, ok = p.write(ctx, conn, instance)
		if ok {
			p.recordSuccess()
		}
		if conn == nil {
			instance++
		}
		select {
		case <-ctx.Done():
			p.close(conn)
			return
		case <-ticker.C:
		}
	}
}

func (p *Probe) close(conn *pgx.Conn) {
	if conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = conn.Close(ctx)
}

func (p *Probe) write(ctx context.Context, conn *pgx.Conn, instance int) (*pgx.Conn, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if conn == nil {
		address := p.options.Addresses[instance%len(p.options.Addresses)]
		opened, err := pgx.Connect(ctx, URL(address, p.options.Caller, p.options.Password, p.options.Service+"/"+p.route))
		if err != nil {
			return nil, false
		}
		conn = opened
	}
	_, err := conn.Exec(ctx, "INSERT INTO probe (key, value) VALUES ('probe', 'x')")
	if err != nil && conn.IsClosed() {
		return nil, false
	}
	return conn, err == nil
}

func (p *Probe) recordSuccess() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.longestGap = max(p.longestGap, now.Sub(p.lastSuccess))
	p.lastSuccess = now
}

// Reset starts a new measurement of the longest gap.
func (p *Probe) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longestGap = 0
	p.lastSuccess = time.Now()
}

// LongestGap returns the longest time between two acknowledged writes since Reset, including the current gap.
func (p *Probe) LongestGap() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.longestGap, time.Since(p.lastSuccess))
}

// SinceLastWrite returns the time since the last acknowledged write.
func (p *Probe) SinceLastWrite() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastSuccess)
}
