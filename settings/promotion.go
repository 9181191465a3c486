package settings

// Promotion says where the platform takes orders to promote an endpoint.
type Promotion struct {
	// Address is an IP:port.
	Address string `toml:"address"`
}

func (s Promotion) check(c *checker) { c.address("promotion.address", s.Address) }
