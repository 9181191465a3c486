package config

// Kind is the kind of a configuration object.
type Kind string

const (
	// KindService is a service that callers connect to.
	KindService Kind = "service"
	// KindDatabase is a database group.
	KindDatabase Kind = "database"
	// KindEndpoint is one member of a database group.
	KindEndpoint Kind = "endpoint"
	// KindRoute is a route from a service to a database.
	KindRoute Kind = "route"
	// KindAllowance is a staleness bound for reads.
	KindAllowance Kind = "allowance"
	// KindLimit is a limit on an endpoint or a route.
	KindLimit Kind = "limit"
	// KindCaller is a client that may connect.
	KindCaller Kind = "caller"
	// KindWorkspace is a customer whose callers share keys and an allotment.
	KindWorkspace Kind = "workspace"
)
