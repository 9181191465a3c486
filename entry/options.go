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

// OwnerClient connects to the owners of endpoints: Open starts a stream for a transaction, and RequestStatus requests a
// status.
type OwnerClient interface {
	Open(ctx context.Context, e config.Endpoint) (peer.Stream, error)
	RequestStatus(ctx context.Context, e config.Endpoint, q pool.StatusRequest) (pool.Report, error)
}

// CatalogSource provides the current configuration, nil before there is one.
type CatalogSource interface {
	Catalog() *config.Catalog
}

// Options configures a Server.
type Options struct {
	// ID is the instance's ID and Domain its failure domain.
	ID     string
	Domain string
	// Keys verify tokens; the first key signs new ones.
	Keys   [][]byte
	Clock  clock.Service
	Logger *event.Logger
	// IdleTimeout is how long an open transaction may wait for the caller's next request.
	IdleTimeout time.Duration
	Owners      OwnerClient
	Catalogs    CatalogSource
	// Allotments limits the operations of workspaces; nil for no limits.
	Allotments Allotments
	// TLS is the configuration for callers that request TLS; nil disables it. TLSRequired refuses callers without TLS.
	TLS         *tls.Config
	TLSRequired bool
	// OnOwnerUnreachable is called with an endpoint when the stream to its owner failed.
	OnOwnerUnreachable func(e config.Endpoint)
	// ForwardCancel sends a cancel request to the other instances that may have the session.
	ForwardCancel func(ctx context.Context, processID, secret uint32)
}
