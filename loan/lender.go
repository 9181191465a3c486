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

// Options are what a lender needs to know and to use.
type Options struct {
	Clock  clock.Service
	Logger *event.Logger
	// Pool returns the connections that are asked for, and false if this instance does not hold them.
	Pool func(asked *wire.Loan) (*connection.Pool, bool)
	// Idle returns how long a transaction may stay idle, 0 for no bound.
	IdleTimeout func() time.Duration
}

// Lender lends this instance's connections.
type Lender struct {
	options Options

	mu      sync.Mutex
	loans   map[*loan]struct{}
	leaving bool
}

// NewLender returns a lender without loans.
func NewLender(o Options) *Lender { return &Lender{options: o, loans: make(map[*loan]struct{})} }

// Serve serves one borrower's connection until its stream ends.
func (l *Lender) Serve(ctx context.Context, asked *wire.Loan, stream peer.Stream) {
	o := &loan{lender: l, asked: asked, stream: stream}
	l.mu.Lock()
	l.loans[o] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.loans, o)
		l.mu.Unlock()
	}()
	o.run(ctx)
}

// Leave tells every borrower to go to another holder. What is under way, and open transactions, are still served.
func (l *Lender) Leave() {
	l.mu.Lock()
	l.leaving = true
	loans := make([]*loan, 0, len(l.loans))
	for o := range l.loans {
		loans = append(loans, o)
	}
	l.mu.Unlock()
	for _, o := range loans {
		// A borrower that can't be told has gone.
		_ = o.send(&wire.Results{Retired: true})
	}
}

// Loans returns how many connections are lent.
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
