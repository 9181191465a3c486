package group

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/session"
)

var (
	epoch   = time.Unix(1_000_000, 0)
	members = []config.Endpoint{
		{Name: "p", Domain: "north/a"}, {Name: "r1", Domain: "north/a"}, {Name: "r2", Domain: "south/b"},
	}
)

func at(term, offset uint64) endpoint.Position {
	return endpoint.Position{Term: endpoint.LogTerm(term), Offset: offset}
}

func noneInFlight(string) int { return 0 }

// viewLedByP is a view in which p proved its lead at the epoch.
func viewLedByP() View { return View{}.WithLead("p", at(1, 10), epoch) }

func TestChoose(t *testing.T) {
	const domain = "north/a"
	second := epoch.Add(time.Second)
	tests := map[string]struct {
		view  View
		query Query
		now   time.Time
		busy  map[string]int
		want  []Choice
	}{
		"primary only": {
			view: viewLedByP(), query: Query{PrimaryOnly: true, Domain: domain}, now: epoch,
			want: []Choice{{Endpoint: members[0], Lead: true, Rule: "primary"}},
		},
		"no primary known": {
			query: Query{PrimaryOnly: true, Domain: domain}, now: epoch,
			want: []Choice{
				{Endpoint: members[0], Lead: true, Rule: "no primary known"},
				{Endpoint: members[1], Lead: true, Rule: "no primary known"},
				{Endpoint: members[2], Lead: true, Rule: "no primary known"},
			},
		},
		"primary reported that it does not lead": {
			view: viewLedByP().WithNotPrimary("p", epoch, second), query: Query{PrimaryOnly: true, Domain: domain}, now: second,
			want: []Choice{{Endpoint: members[1], Lead: true, Rule: "no primary known"}, {Endpoint: members[2], Lead: true, Rule: "no primary known"}},
		},
		"report for a statement older than the proof": {
			view:  viewLedByP().WithLead("p", at(1, 11), second).WithNotPrimary("p", epoch, second),
			query: Query{PrimaryOnly: true, Domain: domain}, now: second,
			want: []Choice{{Endpoint: members[0], Lead: true, Rule: "primary"}},
		},
		"near replica, then primary, then far replica": {
			view: viewLedByP(), query: Query{Token: at(1, 8), Domain: domain}, now: epoch,
			want: []Choice{
				{Endpoint: members[1], After: at(1, 8), Rule: "replica"},
				{Endpoint: members[0], Lead: true, Rule: "primary"},
				{Endpoint: members[2], After: at(1, 8), Rule: "replica"},
			},
		},
		"bounded read requires the certificate's position": {
			view: viewLedByP(), query: Query{MaxAge: 1500 * time.Millisecond, Domain: domain, Tried: []string{"p", "r2"}}, now: second,
			want: []Choice{{Endpoint: members[1], After: at(1, 10), Rule: "replica"}},
		},
		"only the primary without a recent certificate": {
			view: viewLedByP(), query: Query{MaxAge: 1500 * time.Millisecond, Domain: domain}, now: epoch.Add(1490 * time.Millisecond),
			want: []Choice{{Endpoint: members[0], Lead: true, FetchesProof: true, Rule: "primary"}},
		},
		"replica that was behind ranks last": {
			view:  viewLedByP().WithBehind("r1", at(1, 9), at(1, 3), second),
			query: Query{Token: at(1, 9), Domain: domain}, now: second,
			want: []Choice{
				{Endpoint: members[0], Lead: true, Rule: "primary"},
				{Endpoint: members[2], After: at(1, 9), Rule: "replica"},
				{Endpoint: members[1], After: at(1, 9), Rule: "replica"},
			},
		},
		"replica that has the position is not behind": {
			view:  viewLedByP().WithBehind("r1", at(1, 9), at(1, 8), second),
			query: Query{Token: at(1, 8), Domain: domain, Tried: []string{"p", "r2"}}, now: second,
			want: []Choice{{Endpoint: members[1], After: at(1, 8), Rule: "replica"}},
		},
		"busy replica ranks last": {
			view:  viewLedByP().WithBusy("r1", epoch).WithBusy("r1", epoch).WithBusy("r1", epoch),
			query: Query{Domain: domain}, now: epoch,
			want: []Choice{
				{Endpoint: members[0], Lead: true, Rule: "primary"},
				{Endpoint: members[2], Rule: "replica"},
				{Endpoint: members[1], Rule: "replica"},
			},
		},
		"replica that this statement could not reach is excluded": {
			view: viewLedByP().WithAvoid("r1", second), query: Query{Domain: domain, Unreachable: []string{"r1"}}, now: epoch,
			want: []Choice{{Endpoint: members[0], Lead: true, Rule: "primary"}, {Endpoint: members[2], Rule: "replica"}},
		},
		"unreachable replica returns once it no longer counts as failed": {
			view: viewLedByP().WithAvoid("r1", second), query: Query{Domain: domain, Unreachable: []string{"r1"}, Tried: []string{"p", "r2"}}, now: second,
			want: []Choice{{Endpoint: members[1], Rule: "replica"}},
		},
		"failed replica ranks last": {
			view: viewLedByP().WithAvoid("r1", second), query: Query{Domain: domain}, now: epoch,
			want: []Choice{
				{Endpoint: members[0], Lead: true, Rule: "primary"},
				{Endpoint: members[2], Rule: "replica"},
				{Endpoint: members[1], Rule: "replica"},
			},
		},
		"failed primary is not chosen": {
			view: viewLedByP().WithAvoid("p", second), query: Query{PrimaryOnly: true, Domain: domain}, now: epoch,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := test.view.Choose(test.query, members, noneInFlight, test.now)
			for i := range got {
				if got[i].MeanLatency != initialLatency {
					t.Errorf("got mean latency %s", got[i].MeanLatency)
				}
				got[i].MeanLatency = 0
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestLead(t *testing.T) {
	second := epoch.Add(time.Second)
	tests := map[string]struct {
		view View
		want Lead
	}{
		"claim while no lead is known":              {view: View{}.WithClaim("r1", epoch), want: Lead{Endpoint: "r1", At: epoch, Claimed: true}},
		"new claim overrides a proof":               {view: viewLedByP().WithClaim("r1", second), want: Lead{Endpoint: "r1", At: second, Claimed: true}},
		"unchanged claim does not override a proof": {view: View{}.WithClaim("r1", epoch).WithLead("p", at(1, 1), second).WithClaim("r1", second), want: Lead{Endpoint: "p", At: second, Term: 1}},
		"older proof of another is ignored":         {view: View{}.WithClaim("r1", second).WithLead("p", at(1, 1), epoch), want: Lead{Endpoint: "r1", At: second, Claimed: true}},
		"proof by the claimed endpoint":             {view: View{}.WithClaim("r1", second).WithLead("r1", at(1, 1), epoch), want: Lead{Endpoint: "r1", At: epoch, Term: 1}},
		"hint newer than the proof":                 {view: viewLedByP().WithHint("r1", second), want: Lead{Endpoint: "r1", At: second, Claimed: true}},
		"hint older than the proof":                 {view: viewLedByP().WithLead("p", at(1, 1), second).WithHint("r1", epoch), want: Lead{Endpoint: "p", At: second, Term: 1}},
		"endpoint that left":                        {view: viewLedByP().Without("p")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, _ := test.view.Lead()
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestProvenAt checks the time of the last proof of a lead. Claims don't count.
func TestProvenAt(t *testing.T) {
	second := epoch.Add(time.Second)
	tests := map[string]struct {
		view View
		want time.Time
	}{
		"never":                      {},
		"claim":                      {view: View{}.WithClaim("r1", epoch)},
		"proof":                      {view: viewLedByP(), want: epoch},
		"newer proof of another":     {view: viewLedByP().WithLead("r1", at(2, 11), second), want: second},
		"claim after a proof":        {view: viewLedByP().WithClaim("r1", second), want: epoch},
		"primary no longer leads":    {view: viewLedByP().WithNotPrimary("p", epoch, second), want: epoch},
		"proof without a position":   {view: View{}.WithLead("p", at(0, 0), second), want: second},
		"endpoint of the proof left": {view: viewLedByP().Without("p"), want: epoch},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, test.view.ProvenAt()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestCertificates checks that a read requires the oldest certificate within its staleness allowance, which a replica
// is most likely to cover.
func TestCertificates(t *testing.T) {
	v := View{}
	for i := range 10 {
		v = v.WithCertificate(session.FreshnessCertificate{Position: at(1, uint64(i)), At: epoch.Add(time.Duration(i) * 100 * time.Millisecond)})
	}
	got := v.Choose(Query{MaxAge: 600 * time.Millisecond, Tried: []string{"p", "r2"}}, members, noneInFlight, epoch.Add(time.Second))
	want := []Choice{{Endpoint: members[1], After: at(1, 5), MeanLatency: initialLatency, Rule: "replica"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
