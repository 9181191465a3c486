package config

import "github.com/cespare/xxhash/v2"

import "fmt"

// masked stands for a secret so that a change of it shows but the secret does not.
func masked(secret string) string {
	if secret == "" {
		return ""
	}
	return fmt.Sprintf("(secret %08x)", uint32(xxhash.Sum64String(secret)))
}

// Masked returns a copy of the set without its secrets.
func (s Set) Masked() Set {
	out := s.Sorted()
	for i := range out.Databases {
		out.Databases[i].Password = masked(out.Databases[i].Password)
	}
	for i := range out.Callers {
		out.Callers[i].Verifier = masked(out.Callers[i].Verifier)
	}
	return out
}
