package allotment

import (
	"context"
	"strings"
	"testing"
	"time"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/member"
)

// noMembers has no instances, so that no account answers.
type noMembers struct{}

func (noMembers) Known() *member.Placement { return member.NewPlacement(nil) }

func (noMembers) InstanceCount() (int, bool) { return 0, true }

func (noMembers) ProbeSoon(string) {}

func newTestLimiter(ctx context.Context, catalog *config.Catalog) *Limiter {
	return NewLimiter(ctx, Options{
		Clock: clock.System{}, Logger: event.Discard(), Members: noMembers{}, Bounds: testBounds, Regions: []string{""},
		Catalog: func() *config.Catalog { return catalog },
	}, nil)
}

// TestRemovedDesks guards against desks that stay after their workspaces were removed from the configuration.
func TestRemovedDesks(t *testing.T) {
	stays, removed := config.Workspace{Name: "w", Rate: 10, Burst: 10}, config.Workspace{Name: "removed", Rate: 10, Burst: 10}
	l := newTestLimiter(t.Context(), config.NewCatalog(config.Set{Workspaces: []config.Workspace{stays}}))
	l.mu.Lock()
	l.desk(removed)
	l.mu.Unlock()
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	_, _ = l.Take(gone, stays, time.Now().Add(time.Second))
	l.giveBack(removed, time.Now().Add(time.Second))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.desks["removed"] != nil || l.desks["w"] == nil {
		t.Errorf("desks are %v", l.desks)
	}
}

// TestCallerGone checks that a refusal after the caller has gone does not blame the accounts.
func TestCallerGone(t *testing.T) {
	w := config.Workspace{Name: "w", Rate: 10, Burst: 10}
	l := newTestLimiter(t.Context(), config.NewCatalog(config.Set{Workspaces: []config.Workspace{w}}))
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	if _, refused := l.Take(gone, w, time.Now().Add(time.Second)); refused == nil || !strings.Contains(refused.Error(), "caller gave up") {
		t.Errorf("got %v", refused)
	}
}
