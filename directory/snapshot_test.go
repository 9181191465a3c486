package directory

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/store"
)

var epoch = time.Unix(1_000_000, 0)

// wordDecoder decodes an endpoint from three words: role, state and incarnation. The version of a configuration is the
// length of its value.
type wordDecoder struct{}

func (wordDecoder) ConfigurationRow() (table, key string) { return "o", "c" }
func (wordDecoder) EndpointTable() string                 { return "e" }
func (wordDecoder) Configuration(value []byte) (Configuration, error) {
	return Configuration{Version: uint64(len(value))}, nil
}

func (wordDecoder) Endpoint(name string, value []byte) (Registration, error) {
	fields := strings.Fields(string(value))
	if len(fields) != 3 {
		return Registration{}, errors.New("not three words")
	}
	r := Registration{Endpoint: config.Endpoint{
		Name: name, Database: "db", Domain: "a", Leaving: fields[1] == "leaving", Incarnation: uint64(fields[2][0]),
	}, Role: endpoint.Replica}
	if fields[0] == "primary" {
		r.Role = endpoint.Primary
	}
	return r, nil
}

func rows(all map[string]string) []store.Row {
	var out []store.Row
	for name, value := range all {
		out = append(out, store.Row{Key: store.Key{Key: name}, Value: []byte(value)})
	}
	return out
}

// tableRead is the endpoint table as read at a store version, some time after epoch.
type tableRead struct {
	after   time.Duration
	version store.Version
	rows    map[string]string
}

func TestSnapshot(t *testing.T) {
	both := map[string]string{"p": "primary ready 1", "r": "replica ready 1"}
	tests := map[string]struct {
		reads      []tableRead
		endpoints  []string
		primary    string
		version    store.Version
		unreadable []string
	}{
		"first read": {reads: []tableRead{{version: 5, rows: both}}, endpoints: []string{"p", "r"}, primary: "p", version: 5},
		"unchanged rows keep the version": {
			reads: []tableRead{{version: 5, rows: both}, {version: 9, rows: both}}, endpoints: []string{"p", "r"}, primary: "p", version: 5,
		},
		"lapsed entry is kept during the grace period": {
			reads:     []tableRead{{version: 5, rows: both}, {after: time.Second, version: 6, rows: map[string]string{"r": "replica ready 1"}}},
			endpoints: []string{"p", "r"}, primary: "p", version: 6,
		},
		"entry that stays missing is removed": {
			reads: []tableRead{
				{version: 5, rows: both},
				{after: time.Second, version: 6, rows: map[string]string{"r": "replica ready 1"}},
				{after: 6 * time.Second, version: 7, rows: map[string]string{"r": "replica ready 1"}},
			},
			endpoints: []string{"r"}, version: 7,
		},
		"leaving entry is removed at once": {
			reads: []tableRead{
				{version: 5, rows: map[string]string{"p": "primary leaving 1", "r": "replica ready 1"}},
				{version: 6, rows: map[string]string{"r": "replica ready 1"}},
			},
			endpoints: []string{"r"}, version: 6,
		},
		"lapsed entry that returns": {
			reads: []tableRead{
				{version: 5, rows: both},
				{version: 6, rows: map[string]string{"r": "replica ready 1"}},
				{after: 2 * time.Second, version: 7, rows: both},
				{after: 9 * time.Second, version: 8, rows: both},
			},
			endpoints: []string{"p", "r"}, primary: "p", version: 7,
		},
		"endpoint promoted last is the primary": {
			reads: []tableRead{
				{version: 5, rows: both}, {version: 6, rows: map[string]string{"p": "primary ready 1", "r": "primary ready 1"}},
			},
			endpoints: []string{"p", "r"}, primary: "r", version: 6,
		},
		"unreadable entry is skipped": {
			reads:     []tableRead{{version: 5, rows: map[string]string{"p": "primary ready 1", "x": "?"}}},
			endpoints: []string{"p"}, primary: "p", version: 5, unreadable: []string{"x"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s Snapshot
			var unreadable []string
			for _, r := range test.reads {
				s, _ = s.With(rows(r.rows), r.version, wordDecoder{}, epoch.Add(r.after), func(name string, _ error) { unreadable = append(unreadable, name) })
			}
			all, primaries := s.endpoints(map[string]string{"a": "north"})
			var names []string
			for _, e := range all {
				names = append(names, e.Name)
				if e.Domain != "north/a" {
					t.Errorf("domain %s", e.Domain)
				}
			}
			slices.Sort(names)
			got := map[string]any{"endpoints": names, "primary": primaries["db"], "version": s.Version(), "unreadable": unreadable}
			want := map[string]any{"endpoints": test.endpoints, "primary": test.primary, "version": test.version, "unreadable": test.unreadable}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
