package entry

import (
	"context"
	"crypto/tls"
	"time"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/peer"
	"siskincove/pool"
)

// Owners reaches the owners of endpoints.
type Owners interface {
	Open(ctx context.Context, e config.Endpoint) (peer.Stream, error)
	Ask(ctx context.Context, e config.Endpoint, q pool.Question) (pool.Report, error)
}

// Catalogs gives the configuration in force, nil before there is one.
type Catalogs interface {
	Catalog() *config.Catalog
}

// Options are what an entry needs to know and to use.
type Options struct {
	// ID is the instance's name and Domain its failure domain.
	ID     string
	Domain string
	// Keys authenticate tokens; the first signs.
	Keys   [][]byte
	Clock  clock.Service
	Logger *event.Logger
	// Idle is how long a transaction may wait for its caller's next request.
	IdleTimeout time.Duration
	Owners      Owners
	Catalogs    Catalogs
	// TLS is the configuration for callers that ask for it, nil for none; Required refuses those that do not.
	TLS         *tls.Config
	TLSRequired bool
	// Doubt is told the address of an instance where a stream failed.
	Unreachable func(e config.Endpoint)
	// Forward sends a caller's cancel request to the instances that may hold its session.
	ForwardCancel func(ctx context.Context, process, secret uint32)
}
