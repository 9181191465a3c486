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
	// Address has the form IP:port.
	Address string `toml:"address" json:"address"`
	// Domain is the failure domain, in the form region/domain.
	Domain string `toml:"domain" json:"domain"`
	// Limit is the name of the limit on slots and connections.
	Limit string `toml:"limit" json:"limit"`
	// Leaving marks an endpoint that gets no new work.
	Leaving bool `toml:"leaving" json:"leaving,omitempty"`
	// Incarnation differs after each start of an endpoint that registers itself; 0 for other endpoints.
	Incarnation uint64 `toml:"-" json:"incarnation,omitempty"`
	// Slots is how many statements an endpoint that registers itself runs at once; 0 for other endpoints.
	Slots int `toml:"-" json:"slots,omitempty"`
}
