package directory

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSubstitutes guards against asking several instances to read at once, and against asking the same one for ever although the store
// does not answer it either or it is of a build that does not know the request.
func TestSubstitutes(t *testing.T) {
	tests := map[string]struct {
		// refusing are the instances that refuse.
		refusing map[string]bool
		// candidates are those in each round, a second apart; the last ones stay.
		candidates [][]string
		want       []string
	}{
		"first reads":           {candidates: [][]string{{"a", "b"}}, want: []string{"a", "a", "a"}},
		"first refuses":         {refusing: map[string]bool{"a": true}, candidates: [][]string{{"a", "b"}}, want: []string{"a", "b", "b"}},
		"all refuse":            {refusing: map[string]bool{"a": true, "b": true}, candidates: [][]string{{"a", "b"}}, want: []string{"a", "b", "", ""}},
		"no candidate":          {candidates: [][]string{nil}, want: []string{"", ""}},
		"one ranks higher":      {candidates: [][]string{{"b"}, {"a", "b"}}, want: []string{"b", "b"}},
		"the one asked is gone": {candidates: [][]string{{"a", "b"}, {"b"}}, want: []string{"a", "b"}},
		"refusals end": {
			refusing: map[string]bool{"a": true}, candidates: [][]string{{"a"}},
			want: []string{"a", "", "", "", "", "", "", "", "", "", "a"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, now := Substitutes{}, epoch
			var got []string
			for n := range test.want {
				id := s.Next(test.candidates[min(n, len(test.candidates)-1)], now)
				got = append(got, id)
				if s = s.With(id); test.refusing[id] {
					s = s.WithRefusal(id, now)
				}
				now = now.Add(time.Second)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
