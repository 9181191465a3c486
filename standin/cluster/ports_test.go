package cluster

import "testing"

// TestFreeAddresses asks for the addresses of many instances before any of them listens: none is given out twice.
func TestFreeAddresses(t *testing.T) {
	seen := make(map[string]bool)
	for range 300 {
		addresses, err := freeAddresses(4)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range addresses {
			if seen[a] {
				t.Errorf("%s is given out twice", a)
			}
			seen[a] = true
		}
	}
}
