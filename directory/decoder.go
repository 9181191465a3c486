package directory

import (
	"time"

	"siskincove/config"
	"siskincove/endpoint"
)

// Declared is a version of the operator's configuration as declared objects, without endpoints.
type Configuration struct {
	Version uint64
	Set     config.Set
	// Idle is how long an open transaction may stay idle, 0 for no bound.
	IdleTimeout time.Duration
}

// Registered is an endpoint as it registered itself; its Domain is the failure domain without the region.
type Registration struct {
	Endpoint config.Endpoint
	// Role is how the endpoint sees itself.
	Role endpoint.Role
}

// Decoder reads what lies in the store.
type Decoder interface {
	// ConfigurationRow tells the table and key of the operator's configuration.
	ConfigurationRow() (table, key string)
	// EndpointTable tells the table in which endpoints register themselves, each under its name.
	EndpointTable() string
	// Configuration reads the value of the operator's row.
	Configuration(value []byte) (Configuration, error)
	// Endpoint reads the value of an endpoint's row.
	Endpoint(name string, value []byte) (Registration, error)
}
