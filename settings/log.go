package settings

import "github.com/apex/log"

// Log configures logging.
type Log struct {
	// Level is the minimum level that is logged: debug, info, warn or error.
	Level string `toml:"level"`
}

func defaultLog() Log { return Log{Level: "info"} }

func (s Log) check(c *checker) {
	if _, err := log.ParseLevel(s.Level); err != nil {
		c.report("log.level", "not one of debug, info, warn, error")
	}
}
