package settings

// Listen holds the addresses that the instance listens on and those of its peers, each an IP:port.
type Listen struct {
	// Callers accepts callers, in the protocol of callers.protocol.
	Callers string `toml:"callers"`
	// Peers accepts other instances.
	Peers string `toml:"peers"`
	// Health serves readiness over HTTP and, with the PostgreSQL protocol, also health, status, metrics and profiles.
	Health string `toml:"health"`
	// Metrics serves metrics, status and profiles apart from readiness. It is used only with the platform's protocol.
	Metrics string `toml:"metrics"`
	// Seeds are addresses at which other instances accept peers. Some may be out of date.
	// They are used only with the platform's protocol.
	Seeds []string `toml:"seeds"`
	// Advertise is the address that other instances dial. If empty, it is Peers.
	Advertise string `toml:"advertise"`
	// Proxy is an HTTP CONNECT proxy through which other instances are dialled. If empty, they are dialled directly.
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
