package settings

// Listen holds the addresses that the instance listens on, each an IP:port.
type Listen struct {
	// Callers is for the PostgreSQL protocol.
	Callers string `toml:"callers"`
	// Peers is for other instances.
	Peers string `toml:"peers"`
	// Health is for metrics, health and readiness over HTTP.
	Health string `toml:"health"`
	// Metrics is for metrics, status and profiles apart from readiness; only with the platform's protocol.
	Metrics string `toml:"metrics"`
	// Seeds are addresses, maybe stale, at which other instances listen for their peers.
	Seeds []string `toml:"seeds"`
	// Advertise is the address that other instances dial; empty means Peers.
	Advertise string `toml:"advertise"`
	// Proxy is an HTTP CONNECT proxy through which other instances are dialled; empty dials straight.
	Proxy string `toml:"proxy"`
}

func (s Listen) check(c *checker) {
	c.address("listen.callers", s.Callers)
	c.address("listen.peers", s.Peers)
	c.address("listen.health", s.Health)
	if s.Metrics != "" {
		c.address("listen.metrics", s.Metrics)
	}
	for _, seed := range s.Seeds {
		c.address("listen.seeds", seed)
	}
	if s.Advertise != "" {
		c.address("listen.advertise", s.Advertise)
	}
	if s.Proxy != "" {
		c.address("listen.proxy", s.Proxy)
	}
}
