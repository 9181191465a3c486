package settings

// Listen holds the addresses that the instance listens on, each an IP:port.
type Listen struct {
	// Callers is for the PostgreSQL protocol.
	Callers string `toml:"callers"`
	// Peers is for other instances.
	Peers string `toml:"peers"`
	// Health is for metrics, health and readiness over HTTP.
	Health string `toml:"health"`
	// Advertise is the address that other instances dial; empty means Peers.
	Advertise string `toml:"advertise"`
	// Proxy is an HTTP CONNECT proxy through which other instances are dialled; empty dials straight.
	Proxy string `toml:"proxy"`
}

func (s Listen) check(c *checker) {
	c.address("listen.callers", s.Callers)
	c.address("listen.peers", s.Peers)
	c.address("listen.health", s.Health)
	if s.Advertise != "" {
		c.address("listen.advertise", s.Advertise)
	}
	if s.Proxy != "" {
		c.address("listen.proxy", s.Proxy)
	}
}
