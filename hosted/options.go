package hosted

import (
	"siskincove/caller"
	"siskincove/clock"
	"siskincove/connection"
	"siskincove/directory"
	"siskincove/event"
	"siskincove/meter"
	"siskincove/settings"
	"siskincove/store"
	"siskincove/succession"
)

// Options hold the settings and dependencies of an instance. The caller of New passes the clients of the platform.
type Options struct {
	Settings settings.Settings
	Clock    clock.Service
	Logger   *event.Logger
	Rows     store.Rows
	Decoder  directory.Decoder
	Dialer   connection.Dialer
	// ProbeDialer opens the connections on which coordinators query endpoints.
	ProbeDialer connection.Dialer
	Promoter    succession.Promoter
	Protocol    caller.Protocol
	// Traffic, if set, counts what this instance exchanges with others; its totals are logged at intervals.
	Traffic *meter.Traffic
}
