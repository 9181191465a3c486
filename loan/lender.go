package loan

import (
	"context"
	"sync"
	"time"

	"siskincove/clock"
	"siskincove/connection"
	"siskincove/event"
	"siskincove/peer"
	"siskincove/peer/wire"
)

// Options configure a Lender.
type Options struct {
	Clock  clock.Service
	Logger *event.Logger
	// Pool returns the pool for the requested endpoint, and false if this instance does not hold connections to it.
	Pool func(request *wire.Loan) (*connection.Pool, bool)
	// IdleTimeout returns how long an open transaction may stay idle; 0 means no limit.
	IdleTimeout func() time.Duration
}

// Lender lends this instance's connections to other instances.
type Lender struct {
	options Options

	mu      sync.Mutex
	loans   map[*loan]struct{}
	leaving bool
}

// NewLender returns a Lender that has lent no connections yet.
func NewLender(o Options) *Lender { return &Lender{options: o, loans: make(map[*loan]struct{})} }

// Serve serves one borrowed connection until its stream ends or the connection to the endpoint is lost.
func (l *Lender) Serve(ctx context.Context, request *wire.Loan, stream peer.Stream) {
	borrowed := &loan{lender: l, request: request, stream: stream}
	l.mu.Lock()
	l.loans[borrowed] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.loans, borrowed)
		l.mu.Unlock()
	}()
	borrowed.run(ctx)
}

// Drain tells every borrower to use another holder. Exchanges in progress and open transactions are still served.
func (l *Lender) Drain() {
	l.mu.Lock()
	l.leaving = true
	loans := make([]*loan, 0, len(l.loans))
	for borrowed := range l.loans {
		loans = append(loans, borrowed)
	}
	l.mu.Unlock()
	for _, borrowed := range loans {
		// A send error means that the borrower has already disconnected.
		_ = borrowed.send(&wire.Results{Retired: true})
	}
}

// Loans returns the number of borrowed connections, whether or not they are in use.
func (l *Lender) Loans() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.loans)
}

func (l *Lender) isLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaving
}
