package settings

// Promotion configures access to the platform's service that promotes endpoints.
type Promotion struct {
	// Address is an IP:port.
	Address string `toml:"address"`
}

func (s Promotion) check(c *checker) { c.address("promotion.address", s.Address) }
