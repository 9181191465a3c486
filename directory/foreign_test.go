package directory

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/store"
)

// TestConfigurationOfAnotherPart guards against applying, or taking for a deletion of the configuration, a row with the key of the
// configuration that another writer has put into another part of the table.
func TestConfigurationOfAnotherPart(t *testing.T) {
	row := func(part, value string) store.Row {
		return store.Row{Key: store.Key{Table: "o", Part: part, Key: "c"}, Value: []byte(value)}
	}
	tests := map[string]struct {
		change store.Change
		want   uint64
		// confirmed is the version that the answer confirms to be the newest.
		confirmed uint64
	}{
		"same part":              {store.Change{Row: row("", "abc")}, 3, 3},
		"another part":           {store.Change{Row: row("p", "abc")}, 2, 2},
		"deletion":               {store.Change{Row: row("", ""), Deleted: true}, 2, 0},
		"deletion, another part": {store.Change{Row: row("p", ""), Deleted: true}, 2, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clk := clock.NewManual(epoch)
			script := &scriptedRows{t: t, clock: clk, answers: []answer{{call: "follow", changes: store.Changes{Version: 9, Changes: []store.Change{test.change}}}}}
			var confirmed uint64
			d := &Directory{options: Options{
				Rows: script, Decoder: wordDecoder{}, Clock: clk, Logger: event.Discard(), Apply: func(*config.Catalog, map[string]string) {},
				Regions: func() map[string]string { return nil }, OnConfirmed: func(version uint64, _ time.Time, _ uint64) { confirmed = version },
			}}
			d.updateConfiguration(row("", "ab"), sourceStore)
			if _, err := d.followChanges(context.Background(), "o", "c", feed{after: 5, version: 2}, 0); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]uint64{test.want, test.confirmed}, []uint64{d.ConfigurationVersion(), confirmed}); diff != "" {
				t.Error(diff)
			}
		})
	}
}
