package config

import (
	"fmt"
	"testing"
)

// TestChangedSecrets guards against a plan that leaves out an object whose secret has changed, since both look the same once they are
// masked. They were built for that: a masked key is 4 bytes of a hash, a masked password 4 bytes of a checksum.
func TestChangedSecrets(t *testing.T) {
	passwords := make(map[string]string)
	var first, second string
	for n := 0; second == ""; n++ {
		password := fmt.Sprint("password ", n)
		if other, known := passwords[masked(password)]; known {
			first, second = other, password
		}
		passwords[masked(password)] = password
	}
	tests := map[string]struct{ before, after Set }{
		"password": {Set{Databases: []Database{{Name: "n", Password: first}}}, Set{Databases: []Database{{Name: "n", Password: second}}}},
		"verifier": {Set{Callers: []Caller{{Name: "n", Verifier: first}}}, Set{Callers: []Caller{{Name: "n", Verifier: second}}}},
		"key of a workspace": {
			Set{Workspaces: []Workspace{{Name: "n", Keys: []KeyHash{{1, 2, 3, 4, 5}}}}},
			Set{Workspaces: []Workspace{{Name: "n", Keys: []KeyHash{{1, 2, 3, 4, 6}}}}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			changes := Diff(test.before, test.after)
			if len(changes) != 1 || changes[0].Action != ActionChange || changes[0].Before != changes[0].After {
				t.Errorf("changes %+v, want one of a masked secret", changes)
			}
		})
	}
}
