package settings

const tokenKeyMinimum = 16

// Token holds the keys that authenticate session tokens; the first signs and all verify.
type Token struct {
	Keys []string `toml:"keys"`
}

func (s Token) check(c *checker) {
	if len(s.Keys) == 0 {
		c.report("token.keys", "missing; name at least one key")
	}
	for _, key := range s.Keys {
		if len(key) < tokenKeyMinimum {
			c.report("token.keys", "a key is shorter than 16 characters")
		}
	}
}
