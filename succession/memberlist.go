package succession

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"siskincove/config"
	"siskincove/database"
	"siskincove/endpoint"
)

// memberTable holds, for each database, the endpoints that may hold acknowledged commits.
const memberTable = "members"

// memberList is a set of endpoints, ordered by name and incarnation, with what is needed to probe them. It is an immutable value.
type memberList struct{ endpoints []config.Endpoint }

// newMemberList returns the list of the registered endpoints and of those that departed.
func newMemberList(registered []config.Endpoint, departures []database.Departure) memberList {
	list := memberList{}.with(registered)
	for _, d := range departures {
		list = list.with([]config.Endpoint{d.Endpoint})
	}
	return list
}

// with returns the list with further endpoints. One that is listed already keeps its incarnation and gets the address given last.
func (l memberList) with(endpoints []config.Endpoint) memberList {
	out := slices.Clone(l.endpoints)
	for _, e := range endpoints {
		e = config.Endpoint{Name: e.Name, Database: e.Database, Address: e.Address, Domain: e.Domain, Incarnation: e.Incarnation}
		if n, found := slices.BinarySearchFunc(out, e, compareMembers); found {
			out[n] = e
		} else {
			out = slices.Insert(out, n, e)
		}
	}
	return memberList{endpoints: out}
}

func compareMembers(a, b config.Endpoint) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

func (l memberList) equal(other memberList) bool { return slices.Equal(l.endpoints, other.endpoints) }

// contains reports whether all endpoints of another list are in l.
func (l memberList) contains(other memberList) bool {
	for _, e := range other.endpoints {
		if _, found := slices.BinarySearchFunc(l.endpoints, e, compareMembers); !found {
			return false
		}
	}
	return true
}

// memberDocument is the value of a row of memberTable.
type memberDocument struct {
	Members []memberRecord `json:"members"`
	// Lead is the last known primary, nil for none.
	Lead *leadRecord `json:"lead,omitempty"`
}

// leadRecord is a primary and its term. Builds that don't know it leave it out when they write the row.
type leadRecord struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Term        uint64 `json:"term"`
}

type memberRecord struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	Domain      string `json:"domain,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
}

// encode returns the list and the last known primary as the value of a row.
func (l memberList) encode(lead lastPrimary) ([]byte, error) {
	document := memberDocument{Members: []memberRecord{}}
	if lead.endpoint != "" {
		document.Lead = &leadRecord{ID: lead.endpoint, Incarnation: lead.incarnation, Term: uint64(lead.term)}
	}
	for _, e := range l.endpoints {
		document.Members = append(document.Members, memberRecord{ID: e.Name, Address: e.Address, Domain: e.Domain, Incarnation: e.Incarnation})
	}
	value, err := json.Marshal(document)
	return value, errors.Wrap(err, "encoding the members")
}

// decodeMemberList returns the list and the last known primary in the value of a database's row.
func decodeMemberList(name string, value []byte) (memberList, lastPrimary, error) {
	var document memberDocument
	if err := json.Unmarshal(value, &document); err != nil {
		return memberList{}, lastPrimary{}, errors.Wrap(err, "decoding the members")
	}
	var lead lastPrimary
	if l := document.Lead; l != nil {
		lead = lastPrimary{endpoint: l.ID, incarnation: l.Incarnation, term: endpoint.FencedTerm(l.Term)}
	}
	var endpoints []config.Endpoint
	for _, m := range document.Members {
		endpoints = append(endpoints, config.Endpoint{Name: m.ID, Database: name, Address: m.Address, Domain: m.Domain, Incarnation: m.Incarnation})
	}
	return memberList{}.with(endpoints), lead, nil
}
