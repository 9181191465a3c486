package store_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"siskincove/platform/rows"
	"siskincove/standin/hosting"
	"siskincove/store"
)

var key = store.Key{Table: "table", Key: "key"}

func newStore(t *testing.T) (*hosting.Store, *rows.Client) {
	t.Helper()
	s, err := hosting.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, rows.New(s.Address())
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestUpdate checks the result of an update when the answer is lost, a concurrent write comes first or the store is down.
func TestUpdate(t *testing.T) {
	tests := map[string]struct {
		faults      hosting.StoreFaults
		interleaved bool
		want        error
		stored      string
	}{
		"no fault":         {stored: "mine"},
		"answer lost":      {faults: hosting.StoreFaults{LoseCommits: 1}, stored: "mine"},
		"concurrent write": {interleaved: true, want: store.ErrConflict, stored: "other"},
		"store down":       {faults: hosting.StoreFaults{Down: true}, want: store.ErrRejected},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, client := newStore(t)
			s.SetFaults(test.faults)
			_, err := store.Update(testContext(t), client, key, func(store.Row) ([]byte, error) {
				if test.interleaved {
					s.WriteRaw(key.Table, key.Key, []byte("other"))
				}
				return []byte("mine"), nil
			})
			if !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
			if diff := cmp.Diff(test.stored, string(s.Rows(key.Table)[key.Key])); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestUpdateOnce checks that an update whose answer is lost is sent once: a second attempt would conflict with the first.
func TestUpdateOnce(t *testing.T) {
	s, client := newStore(t)
	s.SetFaults(hosting.StoreFaults{LoseCommits: 1})
	if _, err := store.Update(testContext(t), client, key, func(store.Row) ([]byte, error) { return []byte("mine"), nil }); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(1, s.Calls("/rows-tx")); diff != "" {
		t.Errorf("transactions sent: %s", diff)
	}
}

// TestScan reads more rows than fit in one page.
func TestScan(t *testing.T) {
	s, client := newStore(t)
	const count = 1203
	var want []string
	for n := range count {
		name := fmt.Sprintf("%05d", n)
		s.WriteRaw("table", name, []byte("x"))
		want = append(want, name)
	}
	page, err := store.Scan(testContext(t), client, "table", "", "")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, row := range page.Rows {
		got = append(got, row.Key.Key)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(store.NewVersion(1, count), page.Version); diff != "" {
		t.Errorf("version: %s", diff)
	}
}

// TestGet checks that a row is not confused with one whose key has the same prefix.
func TestGet(t *testing.T) {
	s, client := newStore(t)
	s.WriteRaw(key.Table, key.Key+"-longer", []byte("x"))
	if _, err := store.Get(testContext(t), client, key); !errors.Is(err, store.ErrAbsent) {
		t.Errorf("absent row: %v", err)
	}
	s.WriteRaw(key.Table, key.Key, []byte("value"))
	row, err := store.Get(testContext(t), client, key)
	if err != nil || string(row.Value) != "value" {
		t.Errorf("row %+v, error %v", row, err)
	}
}

// TestObjects checks that the same bytes can be stored twice and read back.
func TestObjects(t *testing.T) {
	_, client := newStore(t)
	if _, err := client.Get(testContext(t), "a/b"); !errors.Is(err, store.ErrAbsent) {
		t.Errorf("absent object: %v", err)
	}
	data := []byte("some bytes \x00\xff")
	for range 2 {
		if err := client.Put(testContext(t), "a/b", data); err != nil {
			t.Fatal(err)
		}
	}
	got, err := client.Get(testContext(t), "a/b")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(data, got); diff != "" {
		t.Error(diff)
	}
}
