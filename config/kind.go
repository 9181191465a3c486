package config

// Kind is the sort of an object.
type Kind string

const (
	// KindService is a service that callers connect to.
	KindService Kind = "service"
	// KindDatabase is a database group.
	KindDatabase Kind = "database"
	// KindEndpoint is one member of a database group.
	KindEndpoint Kind = "endpoint"
	// KindRoute is how a service's requests reach a database.
	KindRoute Kind = "route"
	// KindAllowance is a staleness that readers accept.
	KindAllowance Kind = "allowance"
	// KindLimit bounds what an endpoint or a route takes.
	KindLimit Kind = "limit"
	// KindCaller is who may connect.
	KindCaller Kind = "caller"
)
