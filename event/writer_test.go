package event

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
)

func TestWriter(t *testing.T) {
	tests := map[string]struct {
		event  Event
		fields log.Fields
		want   string
	}{
		"plain":       {event: Started, fields: log.Fields{"instance": "i0"}, want: "time=1970-01-01T00:00:00.000000Z level=info message=started event=100 instance=i0 subsystem=daemon\n"},
		"quoted":      {event: Ready, fields: log.Fields{"why": "a \"b\"", "n": uint64(3)}, want: "time=1970-01-01T00:00:00.000000Z level=info message=ready event=104 n=3 subsystem=daemon why=\"a \\\"b\\\"\"\n"},
		"line break":  {event: Ready, fields: log.Fields{"why": "a\nlevel=error"}, want: "time=1970-01-01T00:00:00.000000Z level=info message=ready event=104 subsystem=daemon why=\"a\\nlevel=error\"\n"},
		"below level": {event: CallerConnected},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			clk := clock.NewManual(time.Unix(0, 0))
			var out bytes.Buffer
			w := NewWriter(ctx, clk, &out)
			NewLogger(w, log.InfoLevel, clk).Log(test.event, test.fields)
			cancel()
			<-w.Done()
			if diff := cmp.Diff(test.want, out.String()); diff != "" {
				t.Error(diff)
			}
		})
	}
}
