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

// Options configure a group.
type Options struct {
	// Vendor has no effect: members answer the status queries and commands of both vendors, postgres and managed.
	Vendor string
	// Addresses are the members' listening addresses, IP:port; port 0 picks a free one.
	Addresses []string
	// Domains are the members' failure domains, as region/domain.
	Domains []string
	// Slots is how many transactions a member runs at once; further ones wait inside the member.
	Slots int
	// Connections is the maximum number of connections to a member, 0 for no limit.
	Connections int
	// ConnectDelay is added to the set-up of each connection.
	ConnectDelay time.Duration
	// Work is how long each statement occupies its slot.
	Work time.Duration
	// Delays are the one-way network delays to clients and between members.
	Delays NetworkDelays
	// TLS is the configuration for clients that request TLS; nil refuses TLS.
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

// New starts a group that runs until ctx ends. The first member is primary under term 1 and the others follow it.
func New(ctx context.Context, clk clock.Service, options Options) (*Group, error) {
	g := &Group{options: options, clock: clk, done: make(chan struct{})}
	for i, address := range options.Addresses {
		if err := g.addMember(i, address); err != nil {
			return nil, err
		}
	}
	g.assignInitialRoles()
	ended := make([]<-chan struct{}, 0, len(g.servers)+1)
	for _, s := range g.servers {
		ended = append(ended, s.start(ctx))
	}
	ended = append(ended, g.replicate(ctx))
	go g.closeWhenEnded(ended)
	return g, nil
}

func (g *Group) addMember(i int, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for a member")
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

func (g *Group) assignInitialRoles() {
	now := g.clock.Now()
	primary := g.members[0]
	for _, m := range g.members {
		m.fenced = firstTerm
		if m != primary {
			m.upstream = primary.address
		}
	}
	primary.promote(true, now)
}

func (g *Group) closeWhenEnded(ended []<-chan struct{}) {
	for _, e := range ended {
		<-e
	}
	close(g.done)
}

// Done returns a channel that is closed when every goroutine of the group has ended.
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
				g.pullAll()
			}
		}
	}()
	return done
}

func (g *Group) pullAll() {
	for _, m := range g.members {
		g.pull(m)
	}
}

// pull copies records from a member's upstream to it, after the delay between the two.
func (g *Group) pull(m *Member) {
	follower := m.followState()
	if !follower.active {
		return
	}
	upstream := g.memberAt(follower.upstream)
	records := batch{}
	delay := time.Duration(0)
	if upstream != nil && !m.Faults().CutPeers {
		records = upstream.batchFor(follower.term, follower.log)
		delay = g.options.Delays.Delay(upstream.domain, m.domain)
	}
	m.applyBatch(records, follower.term, follower.upstream, delay, g.clock.Now())
}

func (g *Group) memberAt(address string) *Member {
	for _, m := range g.members {
		if m.address == address {
			return m
		}
	}
	return nil
}
