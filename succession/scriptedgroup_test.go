package succession

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/connection"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/statement"
)

// scriptedGroup answers the commands of the protocol for the endpoints that it has; the others can't be reached. Its connections do
// not break.
type scriptedGroup struct {
	mu        sync.Mutex
	endpoints map[string]endpoint.PlatformStatus
	// onStep, if set, is called before a step is carried out.
	onStep func(name string, kind statement.Kind)
	// onAnswer, if set, is called before the answer of a step is returned.
	onAnswer func(name string, kind statement.Kind)
}

func (g *scriptedGroup) Dial(_ context.Context, target connection.Target, _ time.Duration) (connection.Conn, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.endpoints[target.Endpoint.Name]; !ok {
		return nil, errors.New("not reachable")
	}
	return &scriptedConn{group: g, name: target.Endpoint.Name, broken: make(chan struct{})}, nil
}

func (g *scriptedGroup) DialOver(ctx context.Context, target connection.Target, _ net.Conn) (connection.Conn, error) {
	return g.Dial(ctx, target, 0)
}

func (g *scriptedGroup) status(name string) endpoint.PlatformStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endpoints[name]
}

// hold sets the term of an endpoint's hold, 0 for none, as another connection would.
func (g *scriptedGroup) hold(name string, term endpoint.FencedTerm) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.endpoints[name]
	s.Held = term
	g.endpoints[name] = s
}

type scriptedConn struct {
	group  *scriptedGroup
	name   string
	broken chan struct{}
}

func (c *scriptedConn) RoundTrip() time.Duration { return 0 }

func (c *scriptedConn) Broken() <-chan struct{} { return c.broken }

func (c *scriptedConn) Close() {}

func (c *scriptedConn) Exchange(_ context.Context, _ time.Time, steps ...statement.Step) ([]statement.Answer, error) {
	var out []statement.Answer
	for _, step := range steps {
		if c.group.onStep != nil {
			c.group.onStep(c.name, step.Kind)
		}
		out = append(out, c.carryOut(step))
		if c.group.onAnswer != nil {
			c.group.onAnswer(c.name, step.Kind)
		}
	}
	return out, nil
}

func (c *scriptedConn) carryOut(step statement.Step) statement.Answer {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	s := c.group.endpoints[c.name]
	switch step.Kind {
	case statement.Hold:
		s.Held = max(s.Held, step.Term)
	case statement.Resume:
		s.Held = 0
	case statement.Demote:
		s.Role = endpoint.Replica
	}
	c.group.endpoints[c.name] = s
	return statement.Answer{Status: &s}
}

// newScriptedCoordinator returns a coordinator of database db whose endpoints a group answers for.
func newScriptedCoordinator(t *testing.T, g *scriptedGroup) (*Coordinator, context.Context) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	o := Options{Clock: clock.System{}, Logger: event.Discard(), Dialer: g, Timing: DefaultTiming, Announce: func(string) {}, Turns: NewTurns()}
	c := &Coordinator{options: o, name: "db", prober: newProber(ctx, g, o.Clock)}
	t.Cleanup(func() {
		cancel()
		c.watches.end()
		c.prober.close()
	})
	return c, ctx
}

// eventually waits up to two seconds for a condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met: %s", what)
}
