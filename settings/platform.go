package settings

// Platform says where the platform's table service, object store and list of instances are.
type Platform struct {
	// URL is the base address of the table and object protocols.
	URL    string `toml:"url"`
	Region string `toml:"region"`
	Table  string `toml:"table"`
	Bucket string `toml:"bucket"`
	// Roster is the URL of the list of instances.
	Roster string `toml:"roster"`
	Key    string `toml:"key"`
	Secret string `toml:"secret"`
}

func defaultPlatform() Platform {
	return Platform{Region: "local", Table: "siskincove", Bucket: "siskincove"}
}

func (s Platform) check(c *checker) {
	c.require("platform.url", s.URL)
	c.require("platform.table", s.Table)
	c.require("platform.bucket", s.Bucket)
	c.require("platform.key", s.Key)
	c.require("platform.secret", s.Secret)
}

// RosterURL returns where the list of instances is read.
func (s Platform) RosterURL() string {
	if s.Roster != "" {
		return s.Roster
	}
	return s.URL + "/roster"
}
