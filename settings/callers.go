package settings

// Protocols that callers may use.
const (
	// ProtocolPostgres is the PostgreSQL protocol, with endpoints of that kind.
	ProtocolPostgres = "postgres"
	// ProtocolPlatform is the protocol of the users' platform, with the platform's endpoints, store and promotion.
	ProtocolPlatform = "platform"
)

// Callers selects the protocol of the callers, and with it the kind of endpoints.
type Callers struct {
	// Protocol is ProtocolPostgres or ProtocolPlatform.
	Protocol string `toml:"protocol"`
}

func defaultCallers() Callers { return Callers{Protocol: ProtocolPostgres} }

func (s Callers) check(c *checker) {
	if s.Protocol != ProtocolPostgres && s.Protocol != ProtocolPlatform {
		c.report("callers.protocol", "not one of postgres, platform")
	}
}
