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

// words decodes endpoints from words: role, state and incarnation.
type words struct{}

func (words) ConfigurationRow() (table, key string) { return "o", "c" }
func (words) EndpointTable() string                 { return "e" }
func (words) Configuration(value []byte) (Configuration, error) {
	return Configuration{Version: uint64(len(value))}, nil
}

func (words) Endpoint(name string, value []byte) (Registration, error) {
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

// reading is the table as read at a version and time.
type reading struct {
	after   time.Duration
	version uint64
	rows    map[string]string
}

func TestSheet(t *testing.T) {
	both := map[string]string{"p": "primary ready 1", "r": "replica ready 1"}
	tests := map[string]struct {
		readings   []reading
		endpoints  []string
		claim      string
		version    uint64
		unreadable []string
	}{
		"first reading": {readings: []reading{{version: 5, rows: both}}, endpoints: []string{"p", "r"}, claim: "p", version: 5},
		"nothing new keeps the version": {
			readings: []reading{{version: 5, rows: both}, {version: 9, rows: both}}, endpoints: []string{"p", "r"}, claim: "p", version: 5,
		},
		"lapsed entry is kept for a while": {
			readings:  []reading{{version: 5, rows: both}, {after: time.Second, version: 6, rows: map[string]string{"r": "replica ready 1"}}},
			endpoints: []string{"p", "r"}, claim: "p", version: 6,
		},
		"entry that stays missing is gone": {
			readings: []reading{
				{version: 5, rows: both},
				{after: time.Second, version: 6, rows: map[string]string{"r": "replica ready 1"}},
				{after: 6 * time.Second, version: 7, rows: map[string]string{"r": "replica ready 1"}},
			},
			endpoints: []string{"r"}, version: 7,
		},
		"entry that left is gone at once": {
			readings: []reading{
				{version: 5, rows: map[string]string{"p": "primary leaving 1", "r": "replica ready 1"}},
				{version: 6, rows: map[string]string{"r": "replica ready 1"}},
			},
			endpoints: []string{"r"}, version: 6,
		},
		"entry that came back": {
			readings: []reading{
				{version: 5, rows: both},
				{version: 6, rows: map[string]string{"r": "replica ready 1"}},
				{after: 2 * time.Second, version: 7, rows: both},
				{after: 9 * time.Second, version: 8, rows: both},
			},
			endpoints: []string{"p", "r"}, claim: "p", version: 7,
		},
		"later promotion is the claim": {
			readings: []reading{
				{version: 5, rows: both}, {version: 6, rows: map[string]string{"p": "primary ready 1", "r": "primary ready 1"}},
			},
			endpoints: []string{"p", "r"}, claim: "r", version: 6,
		},
		"entry that can't be read names none, the others hold": {
			readings:  []reading{{version: 5, rows: map[string]string{"p": "primary ready 1", "x": "?"}}},
			endpoints: []string{"p"}, claim: "p", version: 5, unreadable: []string{"x"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s Snapshot
			var unreadable []string
			for _, r := range test.readings {
				s, _ = s.With(rows(r.rows), r.version, words{}, epoch.Add(r.after), func(name string, _ error) { unreadable = append(unreadable, name) })
			}
			all, claims := s.endpoints(map[string]string{"a": "north"})
			var names []string
			for _, e := range all {
				names = append(names, e.Name)
				if e.Domain != "north/a" {
					t.Errorf("domain %s", e.Domain)
				}
			}
			slices.Sort(names)
			got := map[string]any{"endpoints": names, "claim": claims["db"], "version": s.Version(), "unreadable": unreadable}
			want := map[string]any{"endpoints": test.endpoints, "claim": test.claim, "version": test.version, "unreadable": test.unreadable}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
