package message

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// TestSharedName guards against two statements that share a name, be it that they were built to have equal checksums or that they differ
// in the types of their parameters only.
func TestSharedName(t *testing.T) {
	parses := map[string]*pgproto3.Parse{
		"text":                      {Query: "select $1"},
		"other text":                {Query: "select $2"},
		"typed":                     {Query: "select $1", ParameterOIDs: []uint32{23}},
		"otherwise typed":           {Query: "select $1", ParameterOIDs: []uint32{25}},
		"checksum":                  {Query: "seLeCT\t value FROM t WHERE key='1vjmcc0z'                       "},
		"other text, same checksum": {Query: "sELect  value FROM t WHERE key='ffyksdqa'                       "},
	}
	seen := make(map[string]string)
	for label, m := range parses {
		name, err := SharedName(encode(t, m))
		if err != nil || !IsSharedName(name) || len(name) > 63 {
			t.Errorf("%s: name %q, %v", label, name, err)
		}
		if other, taken := seen[name]; taken {
			t.Errorf("%q and %q are both named %s", label, other, name)
		}
		seen[name] = label
		m.Name = "s1"
		if renamed, err := SharedName(encode(t, m)); err != nil || renamed != name {
			t.Errorf("%s: the caller's name changes the name to %q, %v", label, renamed, err)
		}
	}
	for _, name := range []string{"", "s1", "sc9a6e0deac905690"} {
		if IsSharedName(name) {
			t.Errorf("%q counts as shared name", name)
		}
	}
}
