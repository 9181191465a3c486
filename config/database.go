package config

// Database is a group of endpoints that replicate from one primary.
type Database struct {
	Name string `toml:"name" json:"name"`
	// Vendor is how the group reports and obeys: postgres or managed.
	Vendor string `toml:"vendor" json:"vendor"`
	// Name of the database, user and password that instances use at the endpoints.
	Catalog  string `toml:"catalog" json:"catalog,omitempty"`
	User     string `toml:"user" json:"user,omitempty"`
	Password string `toml:"password" json:"password,omitempty"`
}
