package directory

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/store"
)

// TestRefusalsAreBounded guards against a log that is filled by entries of other writers: one that is read again and again, one that
// changes all the time, many at once, and one whose cause quotes a long text.
func TestRefusalsAreBounded(t *testing.T) {
	long := strings.Repeat("x", 60_000)
	tests := map[string]struct {
		// reads are what is read of the table, a second apart.
		reads []map[string]string
		lines int
	}{
		"same value":         {reads: repeated(100, func(int) map[string]string { return map[string]string{"x": "odd"} }), lines: 1},
		"changing value":     {reads: repeated(59, func(n int) map[string]string { return map[string]string{"x": fmt.Sprint("odd ", n)} }), lines: maxRefusalLines},
		"more than a minute": {reads: repeated(61, func(n int) map[string]string { return map[string]string{"x": fmt.Sprint("odd ", n)} }), lines: maxRefusalLines + 1},
		"removed between":    {reads: []map[string]string{{"x": "odd"}, {}, {"x": "odd"}}, lines: 2},
		"long name":          {reads: []map[string]string{{long: "odd"}}, lines: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			manual := clock.NewManual(epoch)
			var lines []string
			logger := event.NewLogger(log.HandlerFunc(func(e *log.Entry) error {
				if e.Fields["event"] == event.EntryUnreadable.Number {
					lines = append(lines, fmt.Sprint(e.Fields))
				}
				return nil
			}), log.InfoLevel, manual)
			d := &Directory{options: Options{Decoder: wordDecoder{}, Clock: manual, Logger: logger}}
			for n, read := range test.reads {
				d.updateEndpoints(rows(read), store.Version(n+1), sourceStore)
				manual.Advance(time.Second)
			}
			if diff := cmp.Diff(test.lines, len(lines)); diff != "" {
				t.Error(diff)
			}
			for _, line := range lines {
				if len(line) > 1000 {
					t.Errorf("line of %d bytes", len(line))
				}
			}
		})
	}
}

func repeated(n int, value func(n int) map[string]string) []map[string]string {
	out := make([]map[string]string, 0, n)
	for i := range n {
		out = append(out, value(i))
	}
	return out
}
