package load

import (
	"fmt"
	"slices"

	"siskincove/verdict"
)

// outcome is the result of a write as reported to the session.
type outcome uint8

const (
	acknowledged outcome = iota
	unknown
	refused
)

// record holds the values that one session has written under a key of its own, with the outcome of each.
type record struct {
	key      string
	values   []string
	outcomes map[string]outcome
	// transactions are the pairs of values that were written by one transaction.
	transactions [][]string
}

func newRecord(key string) *record {
	return &record{key: key, outcomes: make(map[string]outcome)}
}

// newValue returns a unique value to write, with an unknown outcome.
func (r *record) newValue() string {
	value := fmt.Sprintf("%s#%d", r.key, len(r.values))
	r.values = append(r.values, value)
	r.outcomes[value] = unknown
	return value
}

func (r *record) setOutcome(value string, o outcome) { r.outcomes[value] = o }

func outcomeOf(v verdict.Verdict) outcome {
	if v == verdict.NotRun {
		return refused
	}
	return unknown
}

// violation is a read result that contradicts the reported outcomes of writes.
type violation struct {
	Kind string `json:"kind"`
	Key  string `json:"key"`
	Text string `json:"text"`
}

const (
	violationLost      = "acknowledged write not seen"
	violationDuplicate = "write seen twice"
	violationRefused   = "write seen although reported as not run"
	violationUnknown   = "value seen that was never written"
	violationPartial   = "part of a transaction seen without the rest"
)

// check compares the values read with the reported outcomes; if complete is set, every acknowledged value must be present.
func (r *record) check(got []string, complete bool) []violation {
	var out []violation
	report := func(kind, value string) { out = append(out, violation{Kind: kind, Key: r.key, Text: value}) }
	counts := make(map[string]int, len(got))
	for _, value := range got {
		counts[value]++
	}
	for value, count := range counts {
		result, written := r.outcomes[value]
		switch {
		case !written:
			report(violationUnknown, value)
		case count > 1:
			report(violationDuplicate, value)
		case result == refused:
			report(violationRefused, value)
		}
	}
	for _, pair := range r.transactions {
		if (counts[pair[0]] == 0) != (counts[pair[1]] == 0) {
			report(violationPartial, pair[0])
		}
	}
	for _, value := range r.values {
		if complete && r.outcomes[value] == acknowledged && !slices.Contains(got, value) {
			report(violationLost, value)
		}
	}
	return out
}
