package settings

// Protocols that callers may speak.
const (
	// ProtocolPostgres is the PostgreSQL protocol, with endpoints of that kind.
	ProtocolPostgres = "postgres"
	// ProtocolPlatform is the users' platform's own protocol, with its endpoints, store and promotion.
	ProtocolPlatform = "platform"
)

// Callers says how callers speak, and with that what the instance runs on.
type Callers struct {
	// Protocol is postgres or platform.
	Protocol string `toml:"protocol"`
}

func defaultCallers() Callers { return Callers{Protocol: ProtocolPostgres} }

func (s Callers) check(c *checker) {
	if s.Protocol != ProtocolPostgres && s.Protocol != ProtocolPlatform {
		c.report("callers.protocol", "not one of postgres, platform")
	}
}
