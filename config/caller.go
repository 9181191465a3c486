package config

// Caller is a client that may connect. Its user name is Name.
type Caller struct {
	Name string `toml:"name" json:"name"`
	// Services are the names of the services that the caller may use.
	Services []string `toml:"services" json:"services"`
	// Verifier is the SCRAM-SHA-256 verifier of the caller's password.
	Verifier string `toml:"verifier" json:"verifier"`
	// Workspace is the workspace to whose allotment the caller's operations count, empty for none.
	Workspace string `toml:"workspace" json:"workspace,omitempty"`
}
