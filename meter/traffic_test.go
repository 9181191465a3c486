package meter

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestTotals guards against counts that an operator can't read back from the log, and against a Traffic that is not configured.
func TestTotals(t *testing.T) {
	var none *Traffic
	none.Add(Flow{Purpose: "loans", Distance: SameDomain}, 1, 10)
	traffic := NewTraffic()
	traffic.Add(Flow{Purpose: "loans", Distance: SameDomain}, 1, 10)
	traffic.Add(Flow{Purpose: "loans", Distance: SameDomain}, 2, 5)
	traffic.Add(Flow{Purpose: "rows/range/servers", Distance: UnknownDistance}, 3, 100)
	if diff := cmp.Diff("rows/range/servers@unknown=3:100 loans@domain=3:15", Format(traffic.Totals())); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(traffic.Totals(), Parse(Format(traffic.Totals())+" loans@far=x:y")); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(map[Flow]Amount{}, none.Totals()); diff != "" {
		t.Error(diff)
	}
}

// TestDistance checks the distance of failure domains; domains of one name in different regions are far apart.
func TestDistance(t *testing.T) {
	tests := map[string]struct {
		a, b string
		want Distance
	}{
		"same domain":         {a: "r/a", b: "r/a", want: SameDomain},
		"same region":         {a: "r/a", b: "r/b", want: SameRegion},
		"other region":        {a: "r/a", b: "s/b", want: OtherRegion},
		"domain of same name": {a: "r/a", b: "s/a", want: OtherRegion},
		"unknown":             {a: "r/a", want: UnknownDistance},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, DistanceBetween(test.a, test.b)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
