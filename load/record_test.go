package load

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRecordCheck guards against violations that are missed and against false reports.
func TestRecordCheck(t *testing.T) {
	outcomes := map[string]outcome{"k#0": acknowledged, "k#1": unknown, "k#2": refused, "k#3": acknowledged, "k#4": acknowledged}
	r := &record{key: "k", values: []string{"k#0", "k#1", "k#2", "k#3", "k#4"}, outcomes: outcomes, transactions: [][]string{{"k#3", "k#4"}}}
	tests := map[string]struct {
		got []string
		// complete tells that the read must contain every acknowledged value.
		complete bool
		want     []string
	}{
		"all present":                                   {got: []string{"k#0", "k#3", "k#4"}, complete: true},
		"write with unknown outcome present":            {got: []string{"k#0", "k#1", "k#3", "k#4"}, complete: true},
		"acknowledged writes missing from a stale read": {got: []string{"k#0"}},
		"acknowledged write lost":                       {got: []string{"k#3", "k#4"}, complete: true, want: []string{violationLost}},
		"duplicate write":                               {got: []string{"k#0", "k#0", "k#3", "k#4"}, complete: true, want: []string{violationDuplicate}},
		"duplicate write with unknown outcome":          {got: []string{"k#1", "k#1"}, want: []string{violationDuplicate}},
		"refused write present":                         {got: []string{"k#2"}, want: []string{violationRefused}},
		"value never written":                           {got: []string{"other"}, want: []string{violationUnknown}},
		"partial transaction":                           {got: []string{"k#0", "k#3"}, want: []string{violationPartial}},
		"partial transaction, complete read":            {got: []string{"k#0", "k#3"}, complete: true, want: []string{violationPartial, violationLost}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, v := range r.check(test.got, test.complete) {
				got = append(got, v.Kind)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
