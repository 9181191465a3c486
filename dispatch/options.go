package dispatch

import (
	"siskincove/clock"
	"siskincove/config"
	"siskincove/database"
	"siskincove/event"
)

// Catalogs gives the configuration in force.
type Catalogs interface {
	// Catalog returns the configuration in force, nil before there is one.
	Catalog() *config.Catalog
}

// Options are what a dispatcher needs to know and to use.
type Options struct {
	// Domain is the failure domain of this instance, as region/domain.
	Domain    string
	Catalogs  Catalogs
	Databases *database.Registry
	Clock     clock.Service
	Logger    *event.Logger
}
