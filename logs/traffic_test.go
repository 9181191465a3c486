package logs

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"siskincove/meter"
)

// TestTraffic guards against totals that are added up although each line includes the former ones, and against those of before a
// restart that are lost.
func TestTraffic(t *testing.T) {
	log := strings.Join([]string{
		`one time=2026-12-04T10:00:00.000000Z level=info message=started event=100`,
		`one time=2026-12-04T10:00:10.000000Z level=info message="traffic counted" event=114 flows="loans@far=1:10"`,
		`one time=2026-12-04T10:00:20.000000Z level=info message="traffic counted" event=114 flows="loans@far=3:30"`,
		`two time=2026-12-04T10:00:20.000000Z level=info message="traffic counted" event=114 flows="loans@far=100:1000"`,
		`one time=2026-12-04T10:00:21.000000Z level=info message=started event=100`,
		`one time=2026-12-04T10:00:31.000000Z level=info message="traffic counted" event=114 flows="loans@far=2:5 link@far=1:7"`,
	}, "\n")
	traffic := NewTraffic()
	if err := new(Reader).Read(strings.NewReader(log), "file", traffic.Add); err != nil {
		t.Fatal(err)
	}
	want := map[meter.Flow]meter.Amount{
		{Purpose: "loans", Distance: meter.OtherRegion}: {Count: 105, Bytes: 1035},
		{Purpose: "link", Distance: meter.OtherRegion}:  {Count: 1, Bytes: 7},
	}
	if diff := cmp.Diff(want, traffic.Totals()); diff != "" {
		t.Error(diff)
	}
}
