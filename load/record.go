package load

import (
	"fmt"
	"slices"

	"siskincove/verdict"
)

// outcome is what a session was told of a value that it wrote.
type outcome uint8

const (
	acknowledged outcome = iota
	unknown
	refused
)

// record is all that was written under one key, by one session only.
type record struct {
	key    string
	values []string
	told   map[string]outcome
	// pairs are the values written by one transaction each.
	pairs [][]string
}

func newRecord(key string) *record {
	return &record{key: key, told: make(map[string]outcome)}
}

// next returns a value that was never written before.
func (r *record) next() string {
	value := fmt.Sprintf("%s#%d", r.key, len(r.values))
	r.values = append(r.values, value)
	r.told[value] = unknown
	return value
}

func (r *record) tell(value string, o outcome) { r.told[value] = o }

func outcomeOf(v verdict.Verdict) outcome {
	if v == verdict.NotRun {
		return refused
	}
	return unknown
}

// fault is one broken promise.
type fault struct {
	Kind string `json:"kind"`
	Key  string `json:"key"`
	Text string `json:"text"`
}

const (
	faultLost    = "acknowledged write not seen"
	faultDoubled = "write seen twice"
	faultRefused = "write seen that was said not to have run"
	faultForeign = "value seen that was never written"
	faultPartial = "part of a transaction seen without the rest"
)

// check compares what was read with what was told; with all set, every acknowledged value must be there.
func (r *record) check(got []string, all bool) []fault {
	var out []fault
	report := func(kind, value string) { out = append(out, fault{Kind: kind, Key: r.key, Text: value}) }
	counts := make(map[string]int, len(got))
	for _, value := range got {
		counts[value]++
	}
	for value, count := range counts {
		told, written := r.told[value]
		switch {
		case !written:
			report(faultForeign, value)
		case count > 1:
			report(faultDoubled, value)
		case told == refused:
			report(faultRefused, value)
		}
	}
	for _, pair := range r.pairs {
		if (counts[pair[0]] == 0) != (counts[pair[1]] == 0) {
			report(faultPartial, pair[0])
		}
	}
	for _, value := range r.values {
		if all && r.told[value] == acknowledged && !slices.Contains(got, value) {
			report(faultLost, value)
		}
	}
	return out
}
