package config

// Database is a group of endpoints that replicate from one primary.
type Database struct {
	Name string `toml:"name" json:"name"`
	// Vendor is how the group reports and obeys: postgres or managed.
	Vendor string `toml:"vendor" json:"vendor"`
	// TLS is how connections to the endpoints are secured: off, authority (the certificate must come from the
	// authority of the instance's settings) or named (it must also name the endpoint's IP number).
	TLS string `toml:"tls" json:"tls,omitempty"`
	// Name of the database, user and password that instances use at the endpoints.
	Catalog  string `toml:"catalog" json:"catalog,omitempty"`
	User     string `toml:"user" json:"user,omitempty"`
	Password string `toml:"password" json:"password,omitempty"`
	// Acknowledge is how many replicas have received a commit that the primary acknowledges, for vendors that wait for them.
	SyncReplicas int `toml:"acknowledge" json:"acknowledge,omitempty"`
	// Connections is how many connections an endpoint admits from all instances together, for vendors that say so.
	Connections int `toml:"connections" json:"connections,omitempty"`
}

const (
	// TLSOff leaves connections in plain text.
	TLSOff = "off"
	// TLSAuthority verifies where the endpoint's certificate comes from.
	TLSAuthority = "authority"
	// TLSNamed also verifies that it names the endpoint's IP number.
	TLSNamed = "named"
)
