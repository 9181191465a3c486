package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// Ports are taken below those that the system gives to outgoing connections, which could take one between the time
	// that it is found free here and the time that an instance listens on it.
	portFirst = 10000
	portLast  = 32000
	portTries = 1000
)

// ports gives out ports of the loopback address, each once in the life of this process: one that was given out is free
// until its instance listens on it.
type ports struct {
	mu    sync.Mutex
	given map[int]bool
}

// given is shared by all clusters of this process.
var given = ports{given: make(map[int]bool)}

// freeAddresses returns loopback addresses that were free a moment ago and that no other caller got.
func freeAddresses(n int) ([]string, error) {
	given.mu.Lock()
	defer given.mu.Unlock()
	var out []string
	for range portTries {
		if len(out) == n {
			return out, nil
		}
		if address, ok := given.take(portFirst + rand.IntN(portLast-portFirst)); ok {
			out = append(out, address)
		}
	}
	return nil, errors.New("no free addresses")
}

// take gives out a port unless it was given out or somebody listens on it; p.mu is held.
func (p *ports) take(port int) (string, bool) {
	if p.given[port] {
		return "", false
	}
	address := fmt.Sprintf("127.0.0.1:%d", port)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", false
	}
	_ = l.Close()
	p.given[port] = true
	return address, true
}
