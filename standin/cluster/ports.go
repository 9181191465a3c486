package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// Ports are chosen below the system's ephemeral range: an outgoing connection could otherwise take a port between
	// the check that it is free and the instance's listen.
	minPort      = 10000
	maxPort      = 32000
	maxPortTries = 1000
)

// portAllocator allocates loopback ports, each at most once in the life of this process, since an allocated port
// appears free until its instance listens on it. It keeps the UDP port of the same number open, by which the allocators of
// other test processes on the machine see that the port is taken; instances use TCP only.
type portAllocator struct {
	mu        sync.Mutex
	allocated map[int]net.PacketConn
}

// loopbackPorts is shared by all clusters of this process.
var loopbackPorts = portAllocator{allocated: make(map[int]net.PacketConn)}

// freeAddresses returns n loopback addresses that were free when checked and are allocated to no other caller.
func freeAddresses(n int) ([]string, error) {
	loopbackPorts.mu.Lock()
	defer loopbackPorts.mu.Unlock()
	var out []string
	for range maxPortTries {
		if len(out) == n {
			return out, nil
		}
		if address, ok := loopbackPorts.allocate(minPort + rand.IntN(maxPort-minPort)); ok {
			out = append(out, address)
		}
	}
	return nil, errors.New("no free loopback ports found")
}

// allocate allocates a port unless it is allocated or in use; p.mu must be held.
func (p *portAllocator) allocate(port int) (string, bool) {
	if p.allocated[port] != nil {
		return "", false
	}
	address := fmt.Sprintf("127.0.0.1:%d", port)
	reservation, err := net.ListenPacket("udp", address)
	if err != nil {
		return "", false
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		_ = reservation.Close()
		return "", false
	}
	_ = l.Close()
	p.allocated[port] = reservation
	return address, true
}
