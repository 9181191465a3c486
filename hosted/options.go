package hosted

import (
	"siskincove/caller"
	"siskincove/clock"
	"siskincove/connection"
	"siskincove/directory"
	"siskincove/event"
	"siskincove/settings"
	"siskincove/store"
	"siskincove/succession"
)

// Options are what an instance needs to know and to use; the platform's bindings are made by the program.
type Options struct {
	Settings settings.Settings
	Clock    clock.Service
	Logger   *event.Logger
	Rows     store.Rows
	Decoder  directory.Decoder
	Dialer   connection.Dialer
	Promoter succession.Promoter
	Protocol caller.Protocol
}
