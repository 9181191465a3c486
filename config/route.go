package config

// Route defines how requests of a service reach a database.
type Route struct {
	Name     string `toml:"name" json:"name"`
	Service  string `toml:"service" json:"service"`
	Database string `toml:"database" json:"database"`
	// Reads is where read-only requests go: ReadsPrimary or ReadsReplica.
	Reads string `toml:"reads" json:"reads"`
	// Allowance is the name of the staleness bound for reads. If it is empty, reads only have to see the session's own writes.
	Allowance string `toml:"allowance" json:"allowance,omitempty"`
	// Limit is the name of the limit that sets the queue, weight and deadline of requests.
	Limit string `toml:"limit" json:"limit,omitempty"`
	// Fallback is the name of the route whose allowance applies when this route's allowance cannot be met.
	Fallback string `toml:"fallback" json:"fallback,omitempty"`
	// Anonymous admits callers without the key of a workspace, where workspaces are configured.
	Anonymous bool `toml:"anonymous" json:"anonymous,omitempty"`
}

const (
	// ReadsPrimary sends reads to the primary.
	ReadsPrimary = "primary"
	// ReadsReplica sends reads to replicas within the allowance.
	ReadsReplica = "replica"
)
