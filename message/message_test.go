package message

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"
)

func encode(t testing.TB, m pgproto3.FrontendMessage) Raw {
	t.Helper()
	data, err := m.Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestStatement checks the parsing and rewriting of statement names against messages encoded by pgproto3.
func TestStatement(t *testing.T) {
	tests := map[string]struct {
		message pgproto3.FrontendMessage
		renamed pgproto3.FrontendMessage
		name    string
		named   bool
	}{
		"parse": {
			message: &pgproto3.Parse{Name: "a", Query: "select $1", ParameterOIDs: []uint32{25}},
			renamed: &pgproto3.Parse{Name: "other", Query: "select $1", ParameterOIDs: []uint32{25}}, name: "a", named: true,
		},
		"bind": {
			message: &pgproto3.Bind{DestinationPortal: "p", PreparedStatement: "a", Parameters: [][]byte{[]byte("x"), nil}},
			renamed: &pgproto3.Bind{DestinationPortal: "p", PreparedStatement: "other", Parameters: [][]byte{[]byte("x"), nil}}, name: "a", named: true,
		},
		"describe statement": {
			message: &pgproto3.Describe{ObjectType: 'S', Name: "a"}, renamed: &pgproto3.Describe{ObjectType: 'S', Name: "other"}, name: "a", named: true,
		},
		"describe portal": {message: &pgproto3.Describe{ObjectType: 'P', Name: "a"}},
		"close statement": {
			message: &pgproto3.Close{ObjectType: 'S', Name: "a"}, renamed: &pgproto3.Close{ObjectType: 'S', Name: "other"}, name: "a", named: true,
		},
		"execute": {message: &pgproto3.Execute{Portal: "a"}},
		"sync":    {message: &pgproto3.Sync{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, named, err := StatementName(encode(t, test.message))
			if err != nil || got != test.name || named != test.named {
				t.Fatalf("name %q, named %t, error %v", got, named, err)
			}
			if !named {
				return
			}
			renamed, err := WithStatementName(encode(t, test.message), "other")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(encode(t, test.renamed), renamed); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestReader(t *testing.T) {
	query := encode(t, &pgproto3.Query{String: strings.Repeat("x", 100)})
	tests := map[string]struct {
		data []byte
		want error
	}{
		"complete":        {data: query},
		"truncated":       {data: query[:50], want: errors.New("unexpected EOF")},
		"oversized":       {data: New(Query, make([]byte, 2000)), want: ErrOversized},
		"length 0":        {data: []byte{'Q', 0, 0, 0, 0}, want: ErrMalformed},
		"negative length": {data: []byte{'Q', 255, 255, 255, 255}, want: ErrMalformed},
		"no data":         {want: errors.New("EOF")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, m, err := NewReader(bytes.NewReader(test.data), 1000).Append(nil)
			if test.want == nil {
				if diff := cmp.Diff([]byte(query), []byte(m)); diff != "" || err != nil {
					t.Errorf("error %v\n%s", err, diff)
				}
				return
			}
			if err == nil || err.Error() != test.want.Error() {
				t.Errorf("error %v, want %v", err, test.want)
			}
		})
	}
}

// FuzzStatement parses arbitrary bytes: nothing may panic, and a rewritten message must contain the new statement name.
func FuzzStatement(f *testing.F) {
	f.Add([]byte(encode(f, &pgproto3.Bind{PreparedStatement: "a"})))
	f.Add([]byte(encode(f, &pgproto3.Parse{Name: "a", Query: "q"})))
	f.Add([]byte{'D', 0, 0, 0, 4})
	f.Fuzz(func(t *testing.T, payload []byte) {
		for len(payload) > 0 {
			m, rest, err := Next(payload)
			if err != nil {
				return
			}
			payload = rest
			_, named, err := StatementName(m)
			if err != nil || !named {
				continue
			}
			renamed, err := WithStatementName(m, "other")
			if err != nil {
				continue
			}
			if name, _, err := StatementName(renamed); err != nil || name != "other" {
				t.Errorf("rewritten message names statement %q, want other: %v", name, err)
			}
		}
		ErrorCode(New(ErrorResponse, payload))
	})
}
