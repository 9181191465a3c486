package succession

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"siskincove/config"
	"siskincove/database"
	"siskincove/endpoint"
)

func listOf(names ...string) memberList {
	var endpoints []config.Endpoint
	for _, name := range names {
		endpoints = append(endpoints, config.Endpoint{Name: name})
	}
	return memberList{}.with(endpoints)
}

// TestMemberRow guards against a list in the store that lacks an endpoint, as when another coordinator or a restored store has
// replaced it, and against calls to the store that nothing requires.
func TestMemberRow(t *testing.T) {
	abc, ab := listOf("a", "b", "c"), listOf("a", "b")
	read := func(list memberList, at time.Duration) memberRow {
		return memberRow{list: list, version: 7, known: true, readAt: epoch.Add(at), era: 1}
	}
	demand := func(rank int) memberDemand {
		return memberDemand{registered: ab, all: abc, since: epoch, rank: rank, era: 1, createDelay: time.Second}
	}
	later := demand(0)
	later.era = 2
	withLead := func(r memberRow, term endpoint.FencedTerm, incarnation uint64) memberRow {
		r.lead = lastPrimary{endpoint: "a", incarnation: incarnation, term: term}
		return r
	}
	led, ledStandby := demand(0), demand(1)
	led.lead = lastPrimary{endpoint: "b", incarnation: 4, term: 3}
	ledStandby.lead = led.lead
	tests := map[string]struct {
		row    memberRow
		demand memberDemand
		after  time.Duration
		task   memberTask
		list   memberList
	}{
		"the row has not been read":                        {demand: demand(0), task: readTask},
		"the store was restored":                           {row: read(abc, 0), demand: later, task: readTask},
		"the row is right":                                 {row: read(abc, 0), demand: demand(0), after: time.Hour},
		"a departed endpoint is missing":                   {row: read(ab, 0), demand: demand(0), task: writeTask, list: abc},
		"a departure was settled":                          {row: read(listOf("a", "b", "c", "d"), 0), demand: demand(0), task: writeTask, list: abc},
		"there is no row, shortly after the start":         {row: memberRow{known: true, era: 1}, demand: demand(0)},
		"there is no row":                                  {row: memberRow{known: true, era: 1}, demand: demand(0), after: time.Second, task: writeTask, list: abc},
		"standby: a departed endpoint is missing":          {row: read(ab, 0), demand: demand(1), after: time.Hour},
		"standby: a departure was settled":                 {row: read(listOf("a", "b", "d"), 0), demand: demand(1), after: time.Hour},
		"standby: a registered endpoint is missing":        {row: read(listOf("a", "d"), 0), demand: demand(1), after: standbyWriteDelay - 1},
		"standby: it is missing for long":                  {row: read(listOf("a", "d"), 0), demand: demand(1), after: standbyWriteDelay, task: readTask},
		"standby: it is missing for long, says a new read": {row: read(listOf("a", "d"), standbyWriteDelay), demand: demand(1), after: standbyWriteDelay, task: writeTask, list: listOf("a", "b", "d")},
		"another endpoint leads":                           {row: withLead(read(abc, 0), 2, 9), demand: led, task: writeTask, list: abc},
		"the primary has restarted":                        {row: withLead(read(abc, 0), 3, 3), demand: led, task: writeTask, list: abc},
		"the row lists the primary":                        {row: withLead(read(abc, 0), 3, 4), demand: led},
		"the row lists a later primary":                    {row: withLead(read(abc, 0), 4, 1), demand: led},
		"no primary is known":                              {row: withLead(read(abc, 0), 4, 1), demand: demand(0)},
		"standby: another endpoint leads":                  {row: withLead(read(abc, 0), 2, 9), demand: ledStandby, after: time.Hour},
		"last standby: it is missing for long":             {row: read(listOf("a", "d"), 0), demand: demand(2), after: standbyWriteDelay},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			task, list := test.row.next(test.demand, epoch.Add(test.after))
			if diff := cmp.Diff([]any{test.task, test.list.endpoints}, []any{task, list.endpoints}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestMemberListRoundTrip guards against a list that coordinators read otherwise than it was written, so that a departed endpoint
// is not found at its address or taken for another incarnation.
func TestMemberListRoundTrip(t *testing.T) {
	member := rapid.Custom(func(t *rapid.T) config.Endpoint {
		return config.Endpoint{
			Name: rapid.StringMatching(`i-[a-d]`).Draw(t, "name"), Database: "db", Address: rapid.String().Draw(t, "address"),
			Domain: rapid.String().Draw(t, "domain"), Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		registered, departed := rapid.SliceOf(member).Draw(t, "registered"), rapid.SliceOf(member).Draw(t, "departed")
		var departures []database.Departure
		for _, e := range departed {
			departures = append(departures, database.Departure{Endpoint: e})
		}
		list := newMemberList(registered, departures)
		lead := lastPrimary{
			endpoint: rapid.StringMatching(`i-[a-d]`).Draw(t, "lead"), incarnation: rapid.Uint64().Draw(t, "incarnation"),
			term: endpoint.FencedTerm(rapid.Uint64().Draw(t, "term")),
		}
		value, err := list.encode(lead)
		if err != nil {
			t.Fatal(err)
		}
		got, gotLead, err := decodeMemberList("db", value)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(list.endpoints, got.endpoints); diff != "" {
			t.Error(diff)
		}
		if gotLead != lead {
			t.Errorf("primary %v, want %v", gotLead, lead)
		}
		if !got.contains(newMemberList(registered, nil)) {
			t.Error("a registered endpoint is missing")
		}
	})
}
