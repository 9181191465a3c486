package pool

import (
	"context"
	"testing"

	"github.com/apex/log"
	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
)

// ownsAll implements Ownership for the only instance.
type ownsAll struct{}

func (ownsAll) Owns(config.Endpoint) bool { return true }

func (ownsAll) MayOwn(config.Endpoint) bool { return true }

func (ownsAll) AffectsDomain(string, string) bool { return true }

// TestPoolNotStarted guards against an endpoint that nobody connects to without a word, because its pool can't be started.
func TestPoolNotStarted(t *testing.T) {
	logged := make(map[int]string)
	logger := event.NewLogger(log.HandlerFunc(func(e *log.Entry) error {
		if number, ok := e.Fields["event"].(int); ok {
			logged[number], _ = e.Fields["endpoint"].(string)
		}
		return nil
	}), log.WarnLevel, clock.System{})
	o := NewOwner(context.Background(), OwnerOptions{Clock: clock.System{}, Logger: logger, Ownership: ownsAll{}})
	o.Configure(config.NewCatalog(config.Set{
		Databases: []config.Database{{Name: "db"}},
		Endpoints: []config.Endpoint{{Name: "e1", Database: "db", Address: "127.0.0.1:none"}},
	}))
	if diff := cmp.Diff(map[int]string{event.PoolNotStarted.Number: "e1"}, logged); diff != "" {
		t.Error(diff)
	}
}
