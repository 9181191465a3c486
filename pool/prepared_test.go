package pool

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"siskincove/peer/wire"
)

// equalChecksums are statements that read the rows of two keys. Their Parse messages have the same XXH64 checksum after the name.
var equalChecksums = map[string]string{
	"1vjmcc0z": "seLeCT\t value FROM t WHERE key='1vjmcc0z'                       ",
	"ffyksdqa": "sELect  value FROM t WHERE key='ffyksdqa'                       ",
}

// nameOfOlderEntry is the name that builds before message.SharedName gave these statements.
const nameOfOlderEntry = "s7fcc526c0bed4bf2"

func (b *testbed) execute(prepared []*wire.Prepared, payload []byte) *wire.Response {
	b.t.Helper()
	return b.open(0, &wire.Open{Request: &wire.Request{Payload: payload, Extended: true, Prepared: prepared, Ends: true}}).finalResponse()
}

// TestNamesOfOlderEntries guards against a statement that runs another caller's text because instances of a build that names statements
// by their XXH64 checksum, which these texts share, use the same connection of the owner.
func TestNamesOfOlderEntries(t *testing.T) {
	b := newTestbed(t, "managed")
	for key := range equalChecksums {
		if r := b.run(true, "INSERT INTO t (key, value) VALUES ('"+key+"', 'value of "+key+"')"); r.GetFailure() != nil {
			t.Fatal(r.GetFailure())
		}
	}
	bind := encodeMessages(t, &pgproto3.Bind{PreparedStatement: nameOfOlderEntry}, &pgproto3.Execute{}, &pgproto3.Sync{})
	tests := map[string]func(parse []byte) []byte{
		"parsed and executed":    func(parse []byte) []byte { return append(parse[:len(parse):len(parse)], bind...) },
		"executed without Parse": func([]byte) []byte { return bind },
	}
	for name, payload := range tests {
		t.Run(name, func(t *testing.T) {
			// Each statement is executed on all connections that the other one has used.
			for range 2 * testSlots {
				for key, query := range equalChecksums {
					parse := encodeMessages(t, &pgproto3.Parse{Name: nameOfOlderEntry, Query: query})
					r := b.execute([]*wire.Prepared{{Name: nameOfOlderEntry, Parse: parse}}, payload(parse))
					row, err := firstRow(r.GetPayload())
					if err != nil || r.GetFailure() != nil {
						t.Fatal(err, r.GetFailure())
					}
					if diff := cmp.Diff("value of "+key, string(row[0])); diff != "" {
						t.Error(diff)
					}
				}
			}
		})
	}
}

// TestAmbiguousName guards against a request of such a build that executes the wrong one of two statements with the same name.
func TestAmbiguousName(t *testing.T) {
	b := newTestbed(t, "managed")
	var prepared []*wire.Prepared
	for _, query := range equalChecksums {
		parse := encodeMessages(t, &pgproto3.Parse{Name: nameOfOlderEntry, Query: query})
		prepared = append(prepared, &wire.Prepared{Name: nameOfOlderEntry, Parse: parse})
	}
	bind := &pgproto3.Bind{PreparedStatement: nameOfOlderEntry}
	r := b.execute(prepared, encodeMessages(t, bind, &pgproto3.Execute{}, bind, &pgproto3.Execute{}, &pgproto3.Sync{}))
	if diff := cmp.Diff("not run: unsupported", outcomeOf(r)); diff != "" {
		t.Error(diff)
	}
}

// TestStatementOfSameRequest guards against a request that is refused though it prepares the statement that it executes, since the list
// of its statements leaves that out.
func TestStatementOfSameRequest(t *testing.T) {
	b := newTestbed(t, "managed")
	for _, name := range []string{"", nameOfOlderEntry, strings.Repeat("s", 44)} {
		parse := encodeMessages(t, &pgproto3.Parse{Name: name, Query: "SELECT count(*) FROM t WHERE key = 'first'"})
		run := encodeMessages(t, &pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{}, &pgproto3.Sync{})
		if r := b.execute(nil, append(parse, run...)); r.GetFailure() != nil || messageTypes(r.GetPayload()) != "12DCZ" {
			t.Errorf("name %q: %v, answers %s", name, r.GetFailure(), messageTypes(r.GetPayload()))
		}
	}
}

// TestUnnamedStatements checks that an unnamed statement of an earlier request is executed before another one replaces it.
func TestUnnamedStatements(t *testing.T) {
	b := newTestbed(t, "managed")
	var prepared []*wire.Prepared
	var parses [][]byte
	for _, key := range []string{"first", "none"} {
		parse := encodeMessages(t, &pgproto3.Parse{Query: "SELECT count(*) FROM t WHERE key = '" + key + "'"})
		parses, prepared = append(parses, parse), append(prepared, &wire.Prepared{Parse: parse})
	}
	run := encodeMessages(t, &pgproto3.Bind{}, &pgproto3.Execute{})
	payload := append(append(append(run[:len(run):len(run)], parses[1]...), run...), encodeMessages(t, &pgproto3.Sync{})...)
	r := b.execute(prepared, payload)
	if diff := cmp.Diff("2DC12DCZ", messageTypes(r.GetPayload())); diff != "" || r.GetFailure() != nil {
		t.Fatal(diff, r.GetFailure())
	}
	if row, err := firstRow(r.GetPayload()); err != nil || string(row[0]) != "1" {
		t.Errorf("first statement returned %q, %v, want the count of the first key", row, err)
	}
}
