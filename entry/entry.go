package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Entry accepts callers.
type Server struct {
	options   Options
	listener  net.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup
	done      chan struct{}
	databases *databases
	requests  atomic.Int64
	// transactions counts the transactions opened, for their numbers.
	transactions atomic.Uint64
	counters     *counters
	retries      *retries
	draining     chan struct{}
	drainOnce    sync.Once

	mu      sync.Mutex
	callers map[uint32]*caller
	next    uint32
	starts  int
}

const (
	// sessionBits is how many low bits of a process number count the sessions of an instance; the rest tell the instance.
	sessionBits = 20
	sessionMask = 1<<sessionBits - 1
	// startsMaximum bounds the connections that have not been authenticated yet.
	startsMaximum = 2000
)

// New returns an entry that serves callers from listener until ctx ends.
func New(ctx context.Context, listener net.Listener, o Options) *Server {
	ctx, cancel := context.WithCancel(ctx)
	e := &Server{
		options:  o,
		listener: listener,
		ctx:      ctx,
		cancel:   cancel,
		done:     make(chan struct{}),
		callers:  make(map[uint32]*caller),
		counters: newCounters(),
		retries:  newRetries(),
		draining: make(chan struct{}),
	}
	e.databases = newDatabases(ctx, o)
	e.running.Go(e.accept)
	go e.finish()
	return e
}

// Done is closed when the entry's goroutines have ended.
func (e *Server) Done() <-chan struct{} { return e.done }

func (e *Server) finish() {
	<-e.ctx.Done()
	_ = e.listener.Close()
	e.closeCallers()
	e.running.Wait()
	close(e.done)
}

func (e *Server) closeCallers() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.callers {
		_ = c.conn.Close()
	}
}

func (e *Server) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		if !e.begin() {
			_ = conn.Close()
			continue
		}
		e.running.Go(func() { e.serve(conn) })
	}
}

// begin counts a connection that has not been authenticated, and refuses it beyond the bound.
func (e *Server) begin() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.starts >= startsMaximum {
		return false
	}
	e.starts++
	return true
}

func (e *Server) begun() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts--
}

func (e *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	c := newCaller(e, conn)
	err := c.start()
	e.begun()
	if err != nil {
		c.reportStart(err)
		return
	}
	e.add(c)
	defer e.remove(c)
	c.greet()
	c.serve()
}

// instanceBits returns the high bits of the process numbers that an instance gives out.
func instanceBits(id string) uint32 {
	return uint32(xxhash.Sum64String(id)) &^ sessionMask
}

// add gives the caller a process number that also tells the instance, for cancel requests that arrive elsewhere.
func (e *Server) add(c *caller) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		e.next = (e.next + 1) & sessionMask
		c.process = instanceBits(e.options.ID) | e.next
		if _, taken := e.callers[c.process]; !taken {
			e.callers[c.process] = c
			return
		}
	}
}

func (e *Server) remove(c *caller) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.callers, c.process)
}

// Sessions returns how many callers are connected.
func (e *Server) Sessions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.callers)
}

// Inflight returns how many requests and open transactions are being served.
func (e *Server) Inflight() int64 { return e.requests.Load() }

// MayHold reports whether an instance may have given out a process number.
func MayHaveIssued(id string, process uint32) bool { return process&^sessionMask == instanceBits(id) }

// Cancel cancels the request of the caller with this process number and secret, and reports whether it is here.
func (e *Server) Cancel(process, secret uint32) bool {
	e.mu.Lock()
	c, ok := e.callers[process]
	e.mu.Unlock()
	if !ok || c.secret != secret {
		return false
	}
	c.cancelRequest()
	return true
}
