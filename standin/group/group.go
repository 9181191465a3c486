package group

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/clock"
)

const (
	replicateInterval = time.Millisecond
	firstTerm         = 1
)

// Options are the sizes and delays of a group.
type Options struct {
	// Vendor is the dialect in which members report and obey: postgres or managed.
	Vendor string
	// Addresses are the members' listening addresses, IP:port; port 0 takes a free one.
	Addresses []string
	// Domains are the members' failure domains, as region/domain.
	Domains []string
	// Slots is how many transactions a member runs at once; more wait inside the member.
	Slots int
	// Connections is how many connections a member admits.
	Connections int
	// ConnectCost delays each new connection.
	ConnectDelay time.Duration
	// Work is how long each statement occupies its slot.
	Work time.Duration
	// Places gives the one-way delays.
	Delays NetworkDelays
	// TLS is shown to callers that ask for it; nil refuses it.
	TLS *tls.Config
}

// Group is a running group of members.
type Group struct {
	options Options
	clock   clock.Service
	members []*Member
	servers []*server
	done    chan struct{}
}

// New starts the members; the first is primary under term 1 and the others follow it.
func New(ctx context.Context, service clock.Service, options Options) (*Group, error) {
	g := &Group{options: options, clock: service, done: make(chan struct{})}
	for i, address := range options.Addresses {
		if err := g.add(i, address); err != nil {
			return nil, err
		}
	}
	g.elect()
	ended := make([]<-chan struct{}, 0, len(g.servers)+1)
	for _, s := range g.servers {
		ended = append(ended, s.start(ctx))
	}
	ended = append(ended, g.replicate(ctx))
	go g.finish(ended)
	return g, nil
}

func (g *Group) add(i int, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "endpoint listener")
	}
	domain := ""
	if i < len(g.options.Domains) {
		domain = g.options.Domains[i]
	}
	name := string(rune('a' + i))
	m := newMember(name, listener.Addr().String(), domain)
	g.members = append(g.members, m)
	g.servers = append(g.servers, newServer(g, m, listener))
	return nil
}

func (g *Group) elect() {
	now := g.clock.Now()
	leader := g.members[0]
	for _, m := range g.members {
		m.fenced = firstTerm
		if m != leader {
			m.upstream = leader.address
		}
	}
	leader.promote(true, now)
}

func (g *Group) finish(ended []<-chan struct{}) {
	for _, e := range ended {
		<-e
	}
	close(g.done)
}

// Done is closed when every goroutine of the group has ended.
func (g *Group) Done() <-chan struct{} { return g.done }

// Members returns the group's members in order.
func (g *Group) Members() []*Member { return g.members }

// Addresses returns the members' listening addresses in order.
func (g *Group) Addresses() []string {
	out := make([]string, 0, len(g.members))
	for _, m := range g.members {
		out = append(out, m.address)
	}
	return out
}

func (g *Group) replicate(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticks := g.clock.Every(ctx, replicateInterval)
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticks:
				g.step()
			}
		}
	}()
	return done
}

func (g *Group) step() {
	for _, m := range g.members {
		g.pull(m)
	}
}

func (g *Group) pull(m *Member) {
	f := m.following()
	if !f.active {
		return
	}
	leader := g.find(f.upstream)
	offered := feed{}
	distance := time.Duration(0)
	if leader != nil && !m.Faults().CutPeers {
		offered = leader.offer(f.term, f.log)
		distance = g.options.Delays.Delay(leader.domain, m.domain)
	}
	m.take(offered, f.term, f.upstream, distance, g.clock.Now())
}

func (g *Group) find(address string) *Member {
	for _, m := range g.members {
		if m.address == address {
			return m
		}
	}
	return nil
}
