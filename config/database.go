package config

// Database is a group of endpoints that replicate from one primary.
type Database struct {
	Name string `toml:"name" json:"name"`
	// Vendor selects the protocol for the group's status and failover commands: postgres or managed. It is
	// platform if the configuration comes from the users' platform.
	Vendor string `toml:"vendor" json:"vendor"`
	// TLS is how connections to the endpoints are secured: off, authority (the certificate must be issued by the authority
	// in the instance's settings) or named (it must also name the endpoint's IP address).
	TLS string `toml:"tls" json:"tls,omitempty"`
	// Catalog is the name of the database at the endpoints, to which instances log in with User and Password.
	Catalog  string `toml:"catalog" json:"catalog,omitempty"`
	User     string `toml:"user" json:"user,omitempty"`
	Password string `toml:"password" json:"password,omitempty"`
	// SyncReplicas is how many replicas have received a commit before the primary acknowledges it, for vendors with
	// synchronous replication.
	SyncReplicas int `toml:"acknowledge" json:"acknowledge,omitempty"`
	// Connections is how many connections an endpoint accepts from all instances together. It is used only on the users'
	// platform; elsewhere the endpoint's Limit gives the number.
	Connections int `toml:"connections" json:"connections,omitempty"`
}

const (
	// TLSOff uses unencrypted connections.
	TLSOff = "off"
	// TLSAuthority verifies that the endpoint's certificate is issued by the configured authority.
	TLSAuthority = "authority"
	// TLSNamed also verifies that the certificate names the endpoint's IP address.
	TLSNamed = "named"
)
