package pool

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"siskincove/clock"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/limit"
	"siskincove/queue"
	"siskincove/session"
	"siskincove/singleflight"
)

// Pool manages the connections and slots of one endpoint.
type Pool struct {
	name        string
	clock       clock.Service
	logger      *event.Logger
	owners      *Client
	dialer      *dialer
	rate        *rate.Limiter
	reserved    *reservedConns
	slots       *queue.Queue
	statusGroup singleflight.Group[endpoint.Status]
	confirmer   *confirmer
	goroutines  sync.WaitGroup
	ctx         context.Context
	cancel      context.CancelFunc
	done        chan struct{}

	mu      sync.Mutex
	options Options
	circuit limit.Circuit
	// idle holds the idle connections; the key is whether they are read-only.
	idle map[bool][]*connection
	// open is the number of connections for transactions, idle ones and those being opened included.
	open              int
	inflight          int
	status            endpoint.Status
	statusAt          time.Time
	responding        bool
	unresponsiveSince time.Time
	history           session.History
	// draining is set while new transactions are refused.
	draining     bool
	transactions map[uint64]*transaction
}

// New starts a pool. It ends with ctx or after Close.
func New(ctx context.Context, options Options) (*Pool, error) {
	d, err := newDialer(options)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &Pool{
		name:              options.Endpoint.Name,
		clock:             options.Clock,
		logger:            options.Logger,
		owners:            options.Owners,
		dialer:            d,
		rate:              rate.NewLimiter(rate.Limit(options.rate()), options.slots()*2),
		ctx:               ctx,
		cancel:            cancel,
		done:              make(chan struct{}),
		options:           options,
		slots:             queue.New(options.slots(), options.Clock),
		idle:              make(map[bool][]*connection),
		transactions:      make(map[uint64]*transaction),
		unresponsiveSince: options.Clock.Now(),
	}
	p.reserved = newReservedConns(p)
	p.confirmer = newConfirmer(p)
	p.goroutines.Go(p.pollStatus)
	p.goroutines.Go(p.runCertification)
	go p.closeWhenDone()
	options.Logger.Log(event.EndpointOwned, log.Fields{"endpoint": options.Endpoint.Name, "database": options.Database.Name})
	return p, nil
}

// Done returns a channel that is closed when the pool's goroutines have ended and its connections are closed.
func (p *Pool) Done() <-chan struct{} { return p.done }

// Close refuses new transactions and ends the pool once none is in flight.
func (p *Pool) Close() {
	p.Drain()
	p.goroutines.Go(func() {
		ticks := p.clock.Every(p.ctx, drainPollInterval)
		for p.Inflight() > 0 {
			select {
			case <-ticks:
			case <-p.ctx.Done():
				return
			}
		}
		p.cancel()
	})
}

const drainPollInterval = 10 * time.Millisecond

// Drain refuses new transactions. Those in flight continue.
func (p *Pool) Drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
}

// Inflight returns the number of running and waiting transactions.
func (p *Pool) Inflight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inflight
}

// Configure applies the options of a newer revision.
func (p *Pool) Configure(options Options) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if options.Endpoint.Leaving && !p.options.Endpoint.Leaving {
		options.Logger.Log(event.EndpointDraining, log.Fields{"endpoint": options.Endpoint.Name})
	}
	p.options = options
	p.draining = options.Endpoint.Leaving
	p.slots.Resize(options.slots())
	p.rate.SetLimit(rate.Limit(options.rate()))
}

func (p *Pool) currentOptions() Options {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.options
}

func (p *Pool) now() time.Time { return p.clock.Now() }

func (p *Pool) closeWhenDone() {
	<-p.ctx.Done()
	p.goroutines.Wait()
	p.reserved.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.close()
		}
	}
	p.idle = make(map[bool][]*connection)
	p.logger.Log(event.EndpointReleased, log.Fields{"endpoint": p.name})
	close(p.done)
}
