package settings

// Store configures access to the platform's store of rows.
type Store struct {
	// Address is an IP:port.
	Address string `toml:"address"`
}

func (s Store) check(c *checker) { c.address("store.address", s.Address) }
