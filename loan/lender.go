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

// Lender lends this instance's connections to other instances, the borrowers.
type Lender struct {
	options Options

	mu       sync.Mutex
	loans    map[*loan]struct{}
	draining bool
}

// NewLender returns a Lender without loans.
func NewLender(o Options) *Lender { return &Lender{options: o, loans: make(map[*loan]struct{})} }

// Serve serves one loan, a borrowed connection, until its stream ends or the connection to the endpoint is lost.
func (l *Lender) Serve(ctx context.Context, request *wire.Loan, stream peer.Stream) {
	current := &loan{lender: l, request: request, stream: stream}
	l.mu.Lock()
	l.loans[current] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.loans, current)
		l.mu.Unlock()
	}()
	current.run(ctx)
}

// Drain tells every borrower that its connection is no longer lent, so that it closes the connection when it is idle and
// asks another holder. Exchanges in progress and open transactions are still served.
func (l *Lender) Drain() {
	l.mu.Lock()
	l.draining = true
	loans := make([]*loan, 0, len(l.loans))
	for current := range l.loans {
		loans = append(loans, current)
	}
	l.mu.Unlock()
	for _, current := range loans {
		// A send error means that the borrower has already disconnected.
		_ = current.send(&wire.Results{Retired: true})
	}
}

// Loans returns the number of loans, whether or not they are in use.
func (l *Lender) Loans() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.loans)
}

func (l *Lender) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}
