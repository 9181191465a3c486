package config

import "strings"

// Region returns the region of a failure domain, which is written region/domain.
func Region(domain string) string {
	region, _, _ := strings.Cut(domain, "/")
	return region
}

// Endpoint is one member of a database group.
type Endpoint struct {
	Name     string `toml:"name" json:"name"`
	Database string `toml:"database" json:"database"`
	// Address is an IP:port.
	Address string `toml:"address" json:"address"`
	// Domain is the failure domain, as region/domain.
	Domain string `toml:"domain" json:"domain"`
	// Limit is the name of the limit on slots and connections.
	Limit string `toml:"limit" json:"limit"`
	// Leaving endpoints get no new work.
	Leaving bool `toml:"leaving" json:"leaving,omitempty"`
	// Incarnation is another one after each start of the endpoint, for endpoints that register themselves; else 0.
	Incarnation uint64 `toml:"-" json:"incarnation,omitempty"`
	// Slots is how many statements the endpoint runs at once, for endpoints that register themselves; else 0.
	Slots int `toml:"-" json:"slots,omitempty"`
}
