package load

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRecordCheck shows that each broken promise is found, and that nothing else is taken for one.
func TestRecordCheck(t *testing.T) {
	told := map[string]outcome{"k#0": acknowledged, "k#1": unknown, "k#2": refused, "k#3": acknowledged, "k#4": acknowledged}
	r := &record{key: "k", values: []string{"k#0", "k#1", "k#2", "k#3", "k#4"}, told: told, pairs: [][]string{{"k#3", "k#4"}}}
	tests := map[string]struct {
		got  []string
		all  bool
		want []string
	}{
		"all there":              {got: []string{"k#0", "k#3", "k#4"}, all: true},
		"unknown one ran":        {got: []string{"k#0", "k#1", "k#3", "k#4"}, all: true},
		"history may lag":        {got: []string{"k#0"}},
		"acknowledged lost":      {got: []string{"k#3", "k#4"}, all: true, want: []string{faultLost}},
		"doubled":                {got: []string{"k#0", "k#0", "k#3", "k#4"}, all: true, want: []string{faultDoubled}},
		"unknown one doubled":    {got: []string{"k#1", "k#1"}, want: []string{faultDoubled}},
		"refused one ran":        {got: []string{"k#2"}, want: []string{faultRefused}},
		"another's value":        {got: []string{"other"}, want: []string{faultForeign}},
		"half of a transaction":  {got: []string{"k#0", "k#3"}, want: []string{faultPartial}},
		"half lost and required": {got: []string{"k#0", "k#3"}, all: true, want: []string{faultPartial, faultLost}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, f := range r.check(test.got, test.all) {
				got = append(got, f.Kind)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
