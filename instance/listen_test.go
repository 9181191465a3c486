package instance

import (
	"context"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/settings"
)

// TestFailedStart guards against addresses that stay in use after a start that failed, because the listeners that had been
// opened were not closed.
func TestFailedStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	free := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}
	tests := map[string]func(s *settings.Settings){
		"address for peers in use":  func(s *settings.Settings) { s.Listen.Peers = taken.Addr().String() },
		"address for health in use": func(s *settings.Settings) { s.Listen.Health = taken.Addr().String() },
		"certificate missing": func(s *settings.Settings) {
			s.TLS.Certificate, s.TLS.Key = "missing.pem", "missing.pem"
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			s := settings.Default()
			s.Listen.Callers, s.Listen.Peers, s.Listen.Health = free(), free(), free()
			change(&s)
			_, err := New(context.Background(), s, clock.System{}, event.Discard(), nil)
			if err == nil {
				t.Fatal("started")
			}
			if inUse := strings.HasSuffix(name, "in use"); errors.Is(err, syscall.EADDRINUSE) != inUse {
				t.Errorf("failed with %v, address in use: %t", err, inUse)
			}
			again, err := net.Listen("tcp", s.Listen.Callers)
			if err != nil {
				t.Fatalf("address of a failed start: %v", err)
			}
			_ = again.Close()
		})
	}
}
