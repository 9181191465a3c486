package directory

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/store"
)

// TestConfigurationOrder guards against a newer configuration being replaced by an older row that arrives late. The decoder
// takes the length of the value as the version of the configuration.
func TestConfigurationOrder(t *testing.T) {
	row := func(version store.Version, value string) store.Row {
		return store.Row{Key: store.Key{Table: "o", Key: "c"}, Version: version, Value: []byte(value)}
	}
	tests := map[string]struct {
		rows []store.Row
		want uint64
	}{
		"newer row":              {rows: []store.Row{row(1, "a"), row(2, "ab")}, want: 2},
		"older row arrives late": {rows: []store.Row{row(2, "ab"), row(1, "a")}, want: 2},
		"later row with an earlier configuration": {rows: []store.Row{row(1, "abc"), row(2, "a")}, want: 3},
		"same row again": {rows: []store.Row{row(1, "a"), row(1, "a")}, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := &Directory{options: Options{
				Decoder: wordDecoder{}, Clock: clock.System{}, Logger: event.Discard(), Apply: func(*config.Catalog, map[string]string) {},
				Regions: func() map[string]string { return nil },
			}}
			for _, r := range test.rows {
				d.updateConfiguration(r, sourceStore)
			}
			if diff := cmp.Diff(test.want, d.configuration.Version); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// sealingDecoder decodes a configuration whose value must not be kept as it is.
type sealingDecoder struct{ wordDecoder }

func (sealingDecoder) Configuration(value []byte) (Configuration, error) {
	return Configuration{Version: uint64(len(value)), Relayed: []byte("sealed")}, nil
}

// TestOfferIsSealed guards against keys of callers that reach a peer with the row of the configuration.
func TestOfferIsSealed(t *testing.T) {
	d := &Directory{options: Options{Decoder: sealingDecoder{}, Clock: clock.System{}, Logger: event.Discard()}}
	d.updateConfiguration(store.Row{Key: store.Key{Table: "o", Key: "c"}, Version: 3, Value: []byte("a key")}, sourceStore)
	offer := d.Offer(Versions{}, true)
	if diff := cmp.Diff("sealed", string(offer.Configuration.Value)); diff != "" {
		t.Error(diff)
	}
}
