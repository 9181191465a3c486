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

// Conn is a connection to an endpoint. It must not be used by several goroutines at once.
type Conn interface {
	// Exchange sends the steps in one write and returns their answers in order. On an error it returns the answers
	// received completely before it, and the connection can't be used again; a step without an answer may have run.
	Exchange(ctx context.Context, deadline time.Time, steps ...statement.Step) ([]statement.Answer, error)
	// RoundTrip returns the round-trip time to the endpoint, measured when the connection was made.
	RoundTrip() time.Duration
	// Broken returns a channel that is closed once the connection can't be used any more.
	Broken() <-chan struct{}
	// Close closes the connection, which rolls back its transaction.
	Close()
}

// ErrUnsent marks the error of an exchange that sent nothing.
var ErrUnsent = errors.New("nothing was sent")

// ErrLender marks the error of an exchange that failed because of the instance that lends the connection. It says nothing
// about the endpoint.
var ErrLender = errors.New("lending instance failed")

// ClassSetter is implemented by connections whose exchanges are queued at another instance.
type ClassSetter interface {
	// SetClass sets the class under which the following exchanges are queued, and until when their answers are on time.
	SetClass(class limit.Class, target time.Time)
}

// GuardedConn is implemented by connections whose other end is another instance, which can divide an exchange in two.
type GuardedConn interface {
	// ExchangeGuarded is Exchange of all steps, of which the endpoint gets the ones after the first guard steps only once the last of
	// those has succeeded. If it failed, the answers may end with it. supported is false if the other end does not divide exchanges;
	// then nothing was sent.
	ExchangeGuarded(ctx context.Context, deadline time.Time, guard int, steps ...statement.Step) (answers []statement.Answer, supported bool, err error)
}

// SessionKeeper is implemented by connections whose other end is another instance that keeps a session's settings and prepared
// statements, and sends a step to the endpoint only once those have been applied there.
type SessionKeeper interface {
	// KeepsSession does nothing; it tells a SessionKeeper from other connections.
	KeepsSession()
}

// Dialer opens connections to endpoints.
type Dialer interface {
	// Dial connects to an endpoint on behalf of a workspace and verifies its identity. connectTimeout bounds the wait for the first
	// answer from the endpoint's address. Errors are verdict errors with NotRun.
	Dial(ctx context.Context, target Target, connectTimeout time.Duration) (Conn, error)
	// DialOver does the same over an existing link to the endpoint. It closes the link on failure.
	DialOver(ctx context.Context, target Target, link net.Conn) (Conn, error)
}

// Detour returns a link to an endpoint through another instance, for use while the endpoint can't be reached directly.
type Detour func(ctx context.Context, e config.Endpoint) (net.Conn, error)
