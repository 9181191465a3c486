package pool

import (
	"crypto/tls"
	"time"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/event"
)

// Options are what a pool needs to know and to use.
type Options struct {
	Endpoint config.Endpoint
	Database config.Database
	Limit    config.Limit
	// Members are all endpoints of the database group, this one included.
	Members []config.Endpoint
	Vendor  endpoint.Vendor
	// Domain is this instance's failure domain.
	Domain string
	// Interval is the time between two status questions.
	Interval time.Duration
	Clock    clock.Service
	Logger   *event.Logger
	// Secure returns the TLS configuration towards an endpoint at a host, whose certificate must name the host with
	// named; nil when the instance has no authority for endpoints.
	TLSConfig func(host string, named bool) *tls.Config
	// Owners reaches the owners of the group's other endpoints.
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

// working is how many connections may carry transactions.
func (o Options) working() int {
	all := orDefault(o.Limit.Connections, defaultConnections)
	return max(all-orDefault(o.Limit.Reserve, defaultReserve), 1)
}

func (o Options) rate() int { return orDefault(o.Limit.Rate, defaultRate) }

func orDefault(value, otherwise int) int {
	if value > 0 {
		return value
	}
	return otherwise
}
