package dispatch

import (
	"siskincove/clock"
	"siskincove/config"
	"siskincove/database"
	"siskincove/event"
)

// CatalogSource provides the configuration in force.
type CatalogSource interface {
	// Catalog returns the configuration in force, nil if there is none yet.
	Catalog() *config.Catalog
}

// Options are the dependencies of a dispatcher.
type Options struct {
	// Domain is the failure domain of this instance, as region/domain.
	Domain    string
	Catalogs  CatalogSource
	Databases *database.Registry
	Clock     clock.Service
	Logger    *event.Logger
	// Freshness tells whether the configuration shows which keys are valid; nil if keys are never withdrawn.
	Freshness Freshness
	// Allotments limits the operations of workspaces; nil for no limits.
	Allotments Allotments
}
