package pool

import (
	"crypto/tls"
	"time"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/event"
)

// Options configures a Pool.
type Options struct {
	Endpoint config.Endpoint
	Database config.Database
	Limit    config.Limit
	// Members are all endpoints of the database, including this one.
	Members []config.Endpoint
	Vendor  endpoint.Vendor
	// Domain is this instance's failure domain.
	Domain string
	// Interval is the time between two status queries.
	Interval time.Duration
	Clock    clock.Service
	Logger   *event.Logger
	// TLSConfig returns the TLS configuration for connections to a host. If named is set, the endpoint's certificate
	// must match the host name. It is nil if the settings name no authority for endpoints.
	TLSConfig func(host string, named bool) *tls.Config
	// Owners sends requests to the owners of the database's other endpoints.
	Owners *Client
}

const (
	defaultSlots       = 4
	defaultConnections = 20
	defaultReserve     = 2
	defaultRate        = 50
	defaultDeadline    = 10 * time.Second
)

func (o Options) slots() int { return orDefault(o.Limit.Slots, defaultSlots) }

// workingConnections is how many connections may carry transactions. The others are reserved for status queries and
// commands.
func (o Options) workingConnections() int {
	all := orDefault(o.Limit.Connections, defaultConnections)
	return max(all-orDefault(o.Limit.Reserve, defaultReserve), 1)
}

func (o Options) rate() int { return orDefault(o.Limit.Rate, defaultRate) }

func orDefault(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}
