package cluster

import "testing"

// TestFreeAddresses guards against one address for two instances: an allocated port looks free until the first instance
// listens on it.
func TestFreeAddresses(t *testing.T) {
	seen := make(map[string]bool)
	for range 300 {
		addresses, err := freeAddresses(4)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range addresses {
			if seen[a] {
				t.Errorf("%s is allocated twice", a)
			}
			seen[a] = true
		}
	}
}
