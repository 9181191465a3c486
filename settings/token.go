package settings

const minTokenKeyBytes = 16

// Token holds the keys of session tokens. The first key signs new tokens; every key is accepted for verification.
type Token struct {
	Keys []string `toml:"keys"`
}

func (s Token) check(c *checker) {
	if len(s.Keys) == 0 {
		c.report("token.keys", "missing; set at least one key")
	}
	for _, key := range s.Keys {
		if len(key) < minTokenKeyBytes {
			c.report("token.keys", "a key is shorter than 16 characters")
		}
	}
}
