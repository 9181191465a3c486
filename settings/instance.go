package settings

// Instance identifies the instance.
type Instance struct {
	// ID is unique among all instances.
	ID string `toml:"id"`
	// Domain is the failure domain, written region/domain.
	Domain string `toml:"domain"`
}

func (s Instance) check(c *checker) {
	c.require("instance.id", s.ID)
	c.domain("instance.domain", s.Domain)
}
