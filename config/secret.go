package config

import "github.com/cespare/xxhash/v2"

import "fmt"

// masked replaces a secret by a short hash, which shows that a secret changed without revealing it.
func masked(secret string) string {
	if secret == "" {
		return ""
	}
	return fmt.Sprintf("(secret %08x)", uint32(xxhash.Sum64String(secret)))
}

// Masked returns a sorted copy of the set with its secrets masked.
func (s Set) Masked() Set {
	out := s.Sorted()
	for i := range out.Databases {
		out.Databases[i].Password = masked(out.Databases[i].Password)
	}
	for i := range out.Callers {
		out.Callers[i].Verifier = masked(out.Callers[i].Verifier)
	}
	for i := range out.Workspaces {
		out.Workspaces[i] = out.Workspaces[i].masked()
	}
	return out
}

// masked returns the workspace with its keys masked.
func (w Workspace) masked() Workspace {
	keys := make([]KeyHash, 0, len(w.Keys))
	for _, key := range w.Keys {
		keys = append(keys, key.masked())
	}
	w.Keys = keys
	return w
}
