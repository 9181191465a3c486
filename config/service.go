package config

// Service is a name that callers connect to as their database.
type Service struct {
	Name string `toml:"name" json:"name"`
	// Route is the name of the route that a session has unless it chooses another.
	Route string `toml:"route" json:"route"`
}
