package config

// Route is how requests of a service reach a database.
type Route struct {
	Name     string `toml:"name" json:"name"`
	Service  string `toml:"service" json:"service"`
	Database string `toml:"database" json:"database"`
	// Reads says where read-only work goes: primary or replica.
	Reads string `toml:"reads" json:"reads"`
	// Allowance is the name of the staleness that reads accept; none means that only the session's own writes bound it.
	Allowance string `toml:"allowance" json:"allowance,omitempty"`
	// Limit is the name of the limit on the queue, its weight and deadline.
	Limit string `toml:"limit" json:"limit,omitempty"`
	// Fallback is the name of a route whose allowance is tried when this one's cannot be met.
	Fallback string `toml:"fallback" json:"fallback,omitempty"`
}

const (
	// ReadsPrimary sends reads to the primary.
	ReadsPrimary = "primary"
	// ReadsReplica sends reads to replicas within the allowance.
	ReadsReplica = "replica"
)
