package directory

import (
	"time"

	"siskincove/config"
	"siskincove/endpoint"
)

// Configuration is one version of the operator's configuration. Set holds its objects, without endpoints.
type Configuration struct {
	Version uint64
	Set     config.Set
	// IdleTimeout is how long an open transaction may stay idle; 0 means no limit.
	IdleTimeout time.Duration
	// KeysRequired is set if callers need the key of a workspace, also if there is no workspace.
	KeysRequired bool
	// Relayed is the value to keep and to pass to peers in place of the row's, nil for the same. It holds no keys of callers.
	Relayed []byte
	// Refused says which objects were left out because they are malformed, and why.
	Refused []string
}

// Registration is what an endpoint registered about itself. The Domain of its Endpoint is the failure domain without the
// region.
type Registration struct {
	Endpoint config.Endpoint
	// Role is the role that the endpoint reports for itself.
	Role endpoint.Role
}

// Decoder locates and decodes the rows of the store.
type Decoder interface {
	// ConfigurationRow returns the table and key of the operator's configuration.
	ConfigurationRow() (table, key string)
	// EndpointTable returns the table in which endpoints register themselves; the key of a row is the endpoint's name.
	EndpointTable() string
	// Configuration decodes the value of the configuration row.
	Configuration(value []byte) (Configuration, error)
	// Endpoint decodes the value of an endpoint's row.
	Endpoint(name string, value []byte) (Registration, error)
}
