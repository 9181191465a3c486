package config

// Service is what callers connect to; its name takes the place of a database name.
type Service struct {
	Name string `toml:"name" json:"name"`
	// Route is the name of the default route of a session.
	Route string `toml:"route" json:"route"`
}
