package directory

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/store"
)

// TestConfigurationOrder gives rows in the order in which they come and the version in force after them; the words'
// version is the length of the value.
func TestConfigurationOrder(t *testing.T) {
	row := func(version uint64, value string) store.Row {
		return store.Row{Key: store.Key{Table: "o", Key: "c"}, Version: version, Value: []byte(value)}
	}
	tests := map[string]struct {
		rows []store.Row
		want uint64
	}{
		"newer":                                {rows: []store.Row{row(1, "a"), row(2, "ab")}, want: 2},
		"an older row comes late":              {rows: []store.Row{row(2, "ab"), row(1, "a")}, want: 2},
		"a later row holds an earlier version": {rows: []store.Row{row(1, "abc"), row(2, "a")}, want: 3},
		"the same again":                       {rows: []store.Row{row(1, "a"), row(1, "a")}, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := &Directory{options: Options{
				Decoder: words{}, Clock: clock.System{}, Logger: event.Discard(), Apply: func(*config.Catalog, map[string]string) {},
				Regions: func() map[string]string { return nil },
			}}
			for _, r := range test.rows {
				d.takeConfiguration(r, fromStore)
			}
			if diff := cmp.Diff(test.want, d.declared.Version); diff != "" {
				t.Error(diff)
			}
		})
	}
}
