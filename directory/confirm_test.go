package directory

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/store"
)

var errDown = errors.New("down")

// configurationRows is a store with a configuration row, whose calls take some time.
type configurationRows struct {
	store.Rows
	clock     *clock.Manual
	value     string
	version   store.Version
	changed   store.Version
	compacted bool
	down      bool
	calls     []string
}

const callTime = 300 * time.Millisecond

func (r *configurationRows) call(name string) error {
	r.calls = append(r.calls, name)
	r.clock.Advance(callTime)
	if r.down {
		return errDown
	}
	return nil
}

func (r *configurationRows) row() store.Row {
	return store.Row{Key: store.Key{Table: "o", Key: "c"}, Value: []byte(r.value), Version: r.changed}
}

func (r *configurationRows) Range(context.Context, string, string, string, string) (store.Page, error) {
	return store.Page{Rows: []store.Row{r.row()}, Version: r.version}, r.call("range")
}

func (r *configurationRows) Follow(_ context.Context, _ string, after store.Version, _ time.Duration) (store.Changes, error) {
	if err := r.call("follow"); err != nil || r.compacted {
		return store.Changes{}, errors.CombineErrors(err, store.ErrCompacted)
	}
	out := store.Changes{Version: r.version}
	if r.changed > after {
		out.Changes = []store.Change{{Row: r.row()}}
	}
	return out, nil
}

// confirmation holds the arguments of OnConfirmed: a version, and how long before the answer the question was sent.
type confirmation struct {
	Version uint64
	Sent    time.Duration
}

// TestConfirm guards against taking an answer of the store for a proof of a later time than that of the question, or of a
// configuration that it does not hold, and against reading the row although only changes are asked for.
func TestConfirm(t *testing.T) {
	tests := map[string]struct {
		change func(r *configurationRows)
		calls  []string
		want   []confirmation
	}{
		"nothing changed":       {func(*configurationRows) {}, []string{"follow"}, []confirmation{{2, callTime}}},
		"other rows changed":    {func(r *configurationRows) { r.version = 9 }, []string{"follow"}, []confirmation{{2, callTime}}},
		"newer configuration":   {func(r *configurationRows) { r.version, r.changed, r.value = 9, 9, "abc" }, []string{"follow"}, []confirmation{{3, callTime}}},
		"history is gone":       {func(r *configurationRows) { r.compacted = true }, []string{"follow", "range"}, []confirmation{{2, callTime}}},
		"older one of a copy":   {func(r *configurationRows) { r.compacted, r.value = true, "a" }, []string{"follow", "range"}, []confirmation{{1, callTime}}},
		"store does not answer": {func(r *configurationRows) { r.down = true }, []string{"follow"}, nil},
		"configuration that can't be read": {
			func(r *configurationRows) { r.version, r.changed, r.value = 9, 9, "" }, []string{"follow"}, nil,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clk := clock.NewManual(time.Unix(1000, 0))
			r := &configurationRows{clock: clk, value: "ab", version: 5, changed: 5}
			var got []confirmation
			d := &Directory{options: Options{
				Rows: r, Decoder: wordDecoder{}, Clock: clk, Logger: event.Discard(), Apply: func(*config.Catalog, map[string]string) {},
				Regions: func() map[string]string { return nil },
				OnConfirmed: func(version uint64, sent time.Time, _ uint64) {
					got = append(got, confirmation{version, clk.Now().Sub(sent)})
				},
			}}
			if err := d.Confirm(context.Background()); err != nil {
				t.Fatal(err)
			}
			r.calls, got = nil, nil
			test.change(r)
			_ = d.Confirm(context.Background())
			if diff := cmp.Diff(test.calls, r.calls); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
