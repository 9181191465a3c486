package hosted

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"siskincove/clock"
	"siskincove/endpoint"
	"siskincove/group"
	"siskincove/peer/wire"
)

// TestAnnouncementBringsAcknowledged guards against a succession that promotes a log shorter than what callers were told (issue 53): the
// coordinator did not know what callers of other instances were told.
func TestAnnouncementBringsAcknowledged(t *testing.T) {
	tests := map[string]struct {
		leaving bool
	}{
		"an instance that serves": {},
		"one that is leaving":     {leaving: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 3)
			announcing, other := d.instances[0], d.instances[2]
			d.mustQuery(d.dial(1, "main"), "q1", "WRITE x one")
			c := d.dial(2, "main")
			d.mustQuery(c, "q2", "BEGIN")
			d.mustQuery(c, "q3", "WRITE x two")
			want := d.mustQuery(c, "q4", "COMMIT").Position
			if test.leaving {
				other.members.Leave(t.Context())
				d.eventually("the other instances know that one is leaving", func() bool { return len(announcing.members.PlacedPeers()) == 1 })
			}
			own, _ := announcing.databases.Get("g")
			if known := own.View().Acknowledged(announcing.options.Clock.Now()); known != (endpoint.Position{}) {
				t.Fatalf("%s is known before the announcement", known)
			}
			primary, target := d.group.Members()[0], d.group.Members()[1]
			own.RecordPromotion(group.Promotion{
				Fence: 9, Term: 1033, Newest: 1, Replaced: primary.ID(), Target: target.ID(), At: announcing.options.Clock.Now(),
			})
			announcing.announce("g")
			if diff := cmp.Diff(want, positionText(own.View().Acknowledged(announcing.options.Clock.Now()))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// positionText returns a position as endpoints write it.
func positionText(p endpoint.Position) string { return fmt.Sprintf("%d.%d", p.Term, p.Offset) }

// TestAcknowledgementsFor checks what a reply tells about the databases of the promotions in the request, and that the peer that gets it
// counts it from when the write was acknowledged.
func TestAcknowledgementsFor(t *testing.T) {
	requested := func(database string) *wire.Promotion { return &wire.Promotion{Database: database, Fence: 1} }
	ended := func(database string) *wire.Promotion {
		return &wire.Promotion{Database: database, Fence: 2, Ended: true}
	}
	position := endpoint.Position{Term: 3, Offset: 7}
	told := func(age time.Duration) []*wire.Acknowledgement {
		return []*wire.Acknowledgement{{Database: "d0000", Position: &wire.Position{Term: 3, Offset: 7}, Age: uint64(age.Microseconds())}}
	}
	tests := map[string]struct {
		promotions []*wire.Promotion
		age        time.Duration
		want       []*wire.Acknowledgement
	}{
		"none":                               {},
		"outstanding":                        {promotions: []*wire.Promotion{requested("d0000")}, want: told(0)},
		"acknowledged a while ago":           {promotions: []*wire.Promotion{requested("d0000")}, age: 59 * time.Second, want: told(59 * time.Second)},
		"acknowledged too long ago":          {promotions: []*wire.Promotion{requested("d0000")}, age: time.Minute},
		"several of one database":            {promotions: []*wire.Promotion{requested("d0000"), requested("d0000")}, want: told(0)},
		"ended":                              {promotions: []*wire.Promotion{ended("d0000")}},
		"one has ended":                      {promotions: []*wire.Promotion{ended("d0000"), requested("d0000")}, want: told(0)},
		"another database":                   {promotions: []*wire.Promotion{requested("d0001")}},
		"a database that is not known":       {promotions: []*wire.Promotion{requested("unknown")}},
		"a database that is not known first": {promotions: []*wire.Promotion{requested("unknown"), requested("d0000")}, want: told(0)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			asked, asking := gossipInstance(2, 0), gossipInstance(2, 0)
			d, _ := asked.databases.Get("d0000")
			d.RecordAcknowledged(position)
			asked.options.Clock.(*clock.Manual).Advance(test.age)
			got := asked.acknowledgementsFor(test.promotions)
			if diff := cmp.Diff(test.want, got, protocmp.Transform()); diff != "" {
				t.Error(diff)
			}
			own, _ := asking.databases.Get("d0000")
			for _, a := range got {
				asking.recordAcknowledgement(own, a)
			}
			now := asking.options.Clock.Now()
			want := group.Acknowledgement{}
			if len(test.want) > 0 {
				want = group.Acknowledgement{Position: position, At: now.Add(-test.age)}
			}
			if diff := cmp.Diff(want, own.View().HighestAcknowledgement(now)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestAcknowledgementsPassedOn guards against the loss of what an instance told before it ended: another coordinator asks those that heard
// it.
func TestAcknowledgementsPassedOn(t *testing.T) {
	first, second, third := gossipInstance(1, 0), gossipInstance(1, 0), gossipInstance(1, 0)
	promotions := []*wire.Promotion{{Database: "d0000", Fence: 1}}
	d, _ := first.databases.Get("d0000")
	d.RecordAcknowledged(endpoint.Position{Term: 3, Offset: 7})
	from := first
	for _, to := range []*Instance{second, third} {
		heard, _ := to.databases.Get("d0000")
		for _, a := range from.acknowledgementsFor(promotions) {
			to.recordAcknowledgement(heard, a)
		}
		from = to
	}
	last, _ := third.databases.Get("d0000")
	if diff := cmp.Diff(endpoint.Position{Term: 3, Offset: 7}, last.View().Acknowledged(third.options.Clock.Now())); diff != "" {
		t.Error(diff)
	}
}
