package hosted

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/coordinator"
	"siskincove/database"
	"siskincove/endpoint"
	"siskincove/group"
	"siskincove/member"
	"siskincove/peer/wire"
	"siskincove/succession"
)

// noMembers implements coordinator.Members for an instance that coordinates no database.
type noMembers struct{}

func (noMembers) Coordinators(string, []config.Endpoint, int) []member.Instance { return nil }

func (noMembers) AffectsDomain(string, string) bool { return true }

// gossipInstance returns an instance that knows the leads of the given number of databases, and whose callers use the given
// number of them.
func gossipInstance(databases, used int) *Instance {
	clk := clock.NewManual(time.Unix(1000, 0))
	i := &Instance{options: Options{Clock: clk}}
	i.databases = database.NewRegistry(database.Options{Clock: clk, Logger: testLogger(), DrainTime: func() time.Duration { return time.Second }})
	i.coordinators = coordinator.New(context.Background(), coordinator.Options[*succession.Coordinator]{Members: noMembers{}})
	var set config.Set
	for n := range databases {
		name := fmt.Sprintf("d%04d", n)
		set.Databases = append(set.Databases, config.Database{Name: name, Connections: 20})
		set.Endpoints = append(set.Endpoints, config.Endpoint{Name: name + "-1", Database: name, Domain: "north/a"})
	}
	i.databases.Configure(config.NewCatalog(set), nil, 1)
	for n, d := range i.databases.All() {
		d.RecordLead(d.Name()+"-1", endpoint.Position{Term: 3, Offset: 1000}, clk.Now())
		if n < used {
			d.Choose(group.Query{PrimaryOnly: true})
		}
	}
	return i
}

// TestUnusedDatabasesNotGossiped guards against heartbeats that grow with the deployment: every instance sent the leads of
// all databases to each of its partners, whether or not the receiver's callers used them.
func TestUnusedDatabasesNotGossiped(t *testing.T) {
	type sizes struct{ Interests, Leads, Bytes int }
	measure := func(databases int) sizes {
		requester, replier := gossipInstance(databases, 5), gossipInstance(databases, 0)
		request := &wire.Heartbeat{Interests: requester.interests()}
		reply := &wire.Heartbeat{Leads: replier.leadsFor(request.GetInterests())}
		return sizes{len(request.GetInterests()), len(reply.GetLeads()), proto.Size(request) + proto.Size(reply)}
	}
	few := measure(10)
	if few.Interests != 5 || few.Leads != 5 {
		t.Fatalf("five databases are in use: %+v", few)
	}
	if diff := cmp.Diff(few, measure(2000)); diff != "" {
		t.Error(diff)
	}
}

// TestInterestsExpire guards against interests that only grow: a database that is no longer used must leave the heartbeats.
func TestInterestsExpire(t *testing.T) {
	i := gossipInstance(10, 5)
	i.options.Clock.(*clock.Manual).Advance(interestDuration)
	if diff := cmp.Diff(0, len(i.interests())); diff != "" {
		t.Error(diff)
	}
}

// TestLeadsBounded guards against replies without bound to an instance whose callers use all databases, and against one
// that always leaves out the same ones.
func TestLeadsBounded(t *testing.T) {
	const databases = 2 * maxLeads
	i := gossipInstance(databases, databases)
	seen := make(map[string]bool)
	for range 1000 {
		leads := i.leadsFor(i.interests())
		if len(leads) != maxLeads {
			t.Fatalf("%d leads in a reply, want %d", len(leads), maxLeads)
		}
		for _, lead := range leads {
			seen[lead.GetDatabase()] = true
		}
	}
	if diff := cmp.Diff(databases, len(seen)); diff != "" {
		t.Error(diff)
	}
}

// TestAnnouncementNamesItsDatabase guards against writes that instances send to a primary which is being replaced: beside the promotions of
// many databases, the announcement of one could leave it out.
func TestAnnouncementNamesItsDatabase(t *testing.T) {
	const databases = 3 * maxPromotions
	i := gossipInstance(databases, 0)
	for n, d := range i.databases.All() {
		d.RecordPromotion(group.Promotion{Fence: uint64(n + 1), Term: 1033, Replaced: "p", Target: "r", At: i.options.Clock.Now()})
	}
	for _, d := range i.databases.All() {
		h := &wire.Heartbeat{Promotions: i.promotions()}
		i.addAnnouncement(h, d)
		if !slices.ContainsFunc(h.GetPromotions(), func(p *wire.Promotion) bool { return p.GetDatabase() == d.Name() }) {
			t.Fatalf("the announcement of %s does not name it", d.Name())
		}
	}
}
