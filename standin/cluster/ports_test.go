package cluster

import (
	"net"
	"testing"
)

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

// TestPortsOfTwoProcesses guards against the same port for the instances of two test processes that run at the same time: one
// then could not listen.
func TestPortsOfTwoProcesses(t *testing.T) {
	one, other := portAllocator{allocated: make(map[int]net.PacketConn)}, portAllocator{allocated: make(map[int]net.PacketConn)}
	for port := minPort; port < maxPort; port++ {
		if _, ok := one.allocate(port); !ok {
			continue
		}
		if address, ok := other.allocate(port); ok {
			t.Errorf("%s is allocated twice", address)
		}
		_ = one.allocated[port].Close()
		return
	}
	t.Fatal("no free port")
}
