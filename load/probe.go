package load

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

// Probe writes to one route at short intervals, each write on its own, and keeps when writes were acknowledged.
type Probe struct {
	options Options
	route   string
	done    chan struct{}

	mu      sync.Mutex
	last    time.Time
	longest time.Duration
}

const (
	probeTimeout  = 1500 * time.Millisecond
	probeSessions = 8
)

// NewProbe starts a probe of a route; it ends with ctx.
func NewProbe(ctx context.Context, o Options, route string) *Probe {
	p := &Probe{options: o, route: route, done: make(chan struct{}), last: time.Now()}
	go p.run(ctx)
	return p
}

// Done is closed when the probe has ended.
func (p *Probe) Done() <-chan struct{} { return p.done }

// run keeps several sessions writing in turn, so that one that waits for an answer does not hide the others' success.
func (p *Probe) run(ctx context.Context) {
	defer close(p.done)
	var sessions sync.WaitGroup
	for n := range probeSessions {
		sessions.Go(func() { p.session(ctx, n) })
	}
	sessions.Wait()
}

func (p *Probe) session(ctx context.Context, n int) {
	var conn *pgx.Conn
	at := n
	ticker := time.NewTicker(p.options.Probe * probeSessions)
	defer ticker.Stop()
	for {
		var ok bool
		conn, ok = p.write(ctx, conn, at)
		if ok {
			p.succeed()
		}
		if conn == nil {
			at++
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

func (p *Probe) write(ctx context.Context, conn *pgx.Conn, at int) (*pgx.Conn, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if conn == nil {
		address := p.options.Addresses[at%len(p.options.Addresses)]
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

func (p *Probe) succeed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.longest = max(p.longest, now.Sub(p.last))
	p.last = now
}

// Reset forgets the longest gap so far.
func (p *Probe) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longest = 0
	p.last = time.Now()
}

// Longest returns the longest time between two acknowledged writes since Reset, the running one included.
func (p *Probe) LongestGap() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.longest, time.Since(p.last))
}

// Since returns the time since the last acknowledged write.
func (p *Probe) SinceLastWrite() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.last)
}
