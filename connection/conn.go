package connection

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/config"
	"siskincove/limit"
	"siskincove/statement"
)

// Conn is one connection to an endpoint, used by one goroutine at a time.
type Conn interface {
	// Exchange sends the steps in one write and returns their answers in order. With an error it returns the answers that
	// came whole before it, and the connection can't be used again; a step without an answer may have run.
	Exchange(ctx context.Context, deadline time.Time, steps ...statement.Step) ([]statement.Answer, error)
	// RoundTrip is how long the way to the endpoint and back took when the connection was made.
	RoundTrip() time.Duration
	// Broken is closed once the connection can't be used again.
	Broken() <-chan struct{}
	// Close ends the connection, which rolls back its transaction.
	Close()
}

// ErrUnsent marks the error of an exchange of which nothing was sent.
var ErrUnsent = errors.New("nothing was sent")

// Classed is a connection whose exchanges wait for their turn at another instance.
type ClassSetter interface {
	// SetClass names the class in which the exchanges that follow wait.
	SetClass(class limit.Class)
}

// Dialer opens connections to endpoints.
type Dialer interface {
	// Dial connects to an endpoint and makes sure that it is the one meant; errors are verdict errors for not run.
	Dial(ctx context.Context, e config.Endpoint) (Conn, error)
	// Over does the same over a link that leads to the endpoint; it closes the link when it fails.
	DialOver(ctx context.Context, e config.Endpoint, link net.Conn) (Conn, error)
}

// Detour returns a link to an endpoint by way of another instance, for when the direct way is cut.
type Detour func(ctx context.Context, e config.Endpoint) (net.Conn, error)
