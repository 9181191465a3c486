package freshness

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestDecide guards against instances that all ask the store while it answers nobody, against ones that don't ask although nobody
// else does, and against ones that ask so late that callers are refused.
func TestDecide(t *testing.T) {
	const ms = time.Millisecond
	long := Inquiry{Since: time.Minute}
	tests := map[string]struct {
		situation Situation
		want      Decision
	}{
		"nothing in force yet":                     {Situation{Starting: true}, Decision{Wait: askPause}},
		"first asks the store at a pace":           {Situation{Proven: true, Age: 300 * ms, Store: Inquiry{Since: 1000 * ms}, Peers: long}, Decision{Target: Store}},
		"first has just asked":                     {Situation{Proven: true, Store: Inquiry{}, Peers: long, Head: true, Used: true}, Decision{Wait: maxWait}},
		"first asks peers while the store hangs":   {Situation{Proven: true, Age: 2000 * ms, Store: Inquiry{Open: true}, Peers: long, Used: true}, Decision{Target: Peers}},
		"head asks the first":                      {Situation{Proven: true, Age: 1200 * ms, Rank: 5, Head: true, Store: long, Peers: long}, Decision{Target: Peers}},
		"head waits":                               {Situation{Proven: true, Age: 600 * ms, Rank: 5, Head: true, Store: long, Peers: long}, Decision{Wait: 600 * ms}},
		"other waits longer":                       {Situation{Proven: true, Age: 1200 * ms, Rank: 5, Used: true, Store: long, Peers: long}, Decision{Wait: 400 * ms}},
		"other asks":                               {Situation{Proven: true, Age: 1600 * ms, Rank: 5, Used: true, Store: long, Peers: long}, Decision{Target: Peers}},
		"instance without callers waits":           {Situation{Proven: true, Age: 1500 * ms, Rank: Provers, Store: long, Peers: long}, Decision{Wait: 1000 * ms}},
		"instance without callers asks":            {Situation{Proven: true, Age: 2500 * ms, Rank: Provers, Store: long, Peers: long}, Decision{Target: Peers}},
		"second stands in for the first":           {Situation{Proven: true, Age: 1800 * ms, Rank: 1, Used: true, Store: long, Peers: Inquiry{Open: true}}, Decision{Target: Store}},
		"third leaves time to the second":          {Situation{Proven: true, Age: 1800 * ms, Rank: 2, Used: true, Store: long, Peers: Inquiry{Open: true}}, Decision{Wait: 150 * ms}},
		"last asks the store before its limit":     {Situation{Proven: true, Age: 4000 * ms, Rank: Provers - 1, Used: true, Store: long, Peers: Inquiry{Open: true}}, Decision{Target: Store}},
		"last asks the store rarely":               {Situation{Rank: Provers - 1, Used: true, Store: Inquiry{Since: 5000 * ms}, Peers: Inquiry{Open: true}}, Decision{Wait: maxWait}},
		"others leave the store to the ranked":     {Situation{Rank: Provers, Used: true, Store: long, Peers: Inquiry{Open: true}}, Decision{Wait: maxWait}},
		"other that is alone asks the store":       {Situation{Proven: true, Age: 1800 * ms, Rank: Provers, Alone: true, Used: true, Store: long, Peers: Inquiry{Open: true}}, Decision{Target: Store}},
		"second asks the store again soon":         {Situation{Rank: 1, Used: true, Store: Inquiry{Since: 2000 * ms}, Peers: Inquiry{Open: true}}, Decision{Target: Store}},
		"peers are asked again after a pause":      {Situation{Rank: Provers, Used: true, Store: Inquiry{}, Peers: Inquiry{Since: 60 * ms}}, Decision{Wait: 40 * ms}},
		"pause grows while peers bring nothing":    {Situation{Rank: Provers, Used: true, Peers: Inquiry{Since: 300 * ms}, Fruitless: 2}, Decision{Wait: 100 * ms}},
		"pause is bounded":                         {Situation{Rank: Provers, Used: true, Peers: Inquiry{Since: 800 * ms}, Fruitless: 99}, Decision{Target: Peers}},
		"without a proof peers are asked at once":  {Situation{Rank: Provers, Peers: long}, Decision{Target: Peers}},
		"decides again although nothing is due":    {Situation{Proven: true, Rank: Provers, Store: long, Peers: long}, Decision{Wait: maxWait}},
		"store is asked first if both are overdue": {Situation{Rank: 1, Used: true, Store: long, Peers: long}, Decision{Target: Store}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.situation.Limits = Limits{Serve: 5000 * ms, Ready: 4000 * ms}
			got := Decide(test.situation)
			got.Wait = got.Wait.Round(10 * ms)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestLimits checks that requests are refused before the bound, and that an outage of the store is bridged for 0.6 of it.
func TestLimits(t *testing.T) {
	const bound = 5 * time.Second
	l := NewLimits(bound)
	if l.Serve >= bound || l.Ready >= l.Serve {
		t.Errorf("limits %+v of a bound of %s", l, bound)
	}
	if oldest := share(l.Serve, askShare); l.Serve-oldest < share(bound, 0.6) {
		t.Errorf("a proof of age %s at the start of an outage bridges only %s", oldest, l.Serve-oldest)
	}
}
