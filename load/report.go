package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

// Report is the result of a load run.
type Report struct {
	Mix     string  `json:"mix"`
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	// Operations are the latencies of successful operations, sorted by name.
	Operations []Latency `json:"operations"`
	Refusals   []Refusal `json:"refusals"`
	// Failures counts the operations that the load generator itself could not start, by cause.
	Failures map[string]int64 `json:"failures,omitempty"`
	// ReplicaShare is the share of reads served by replicas, -1 if unknown.
	ReplicaShare float64 `json:"replica"`
	// Reads is the number of reads that the instances counted, of which ReplicaShare is a fraction.
	Reads float64 `json:"reads"`
	// LongestGap is the longest time between two acknowledged probe writes in milliseconds, -1 without probes.
	LongestGap float64 `json:"gap"`
	// ViolationCount is the number of consistency violations; Violations holds the first of them.
	ViolationCount int64       `json:"broken"`
	Violations     []violation `json:"faults,omitempty"`
	// Unverified is the number of sessions whose writes could not be read back after the run.
	Unverified int `json:"unverified"`
}

// Latency summarizes the latencies of an operation in milliseconds.
type Latency struct {
	Name   string  `json:"name"`
	Count  int64   `json:"count"`
	Median float64 `json:"median"`
	P95    float64 `json:"p95"`
	P99    float64 `json:"p99"`
	Worst  float64 `json:"worst"`
}

// Refusal is the number of operations that were refused or failed with a verdict and reason.
type Refusal struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
	Count   int64  `json:"count"`
}

func (l *loader) newReport(took time.Duration) Report {
	l.tally.mu.Lock()
	defer l.tally.mu.Unlock()
	r := Report{Mix: l.options.Mix.Name, Seed: l.options.Seed, Seconds: took.Seconds(), ReplicaShare: -1, LongestGap: -1, Failures: l.tally.failures}
	for name, h := range l.tally.latencies {
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		r.Operations = append(r.Operations, Latency{
			Name: name, Count: h.TotalCount(), Median: ms(50), P95: ms(95), P99: ms(99), Worst: float64(h.Max()) / 1000,
		})
	}
	slices.SortFunc(r.Operations, func(a, b Latency) int { return cmp.Compare(a.Name, b.Name) })
	for refused, count := range l.tally.refusals {
		r.Refusals = append(r.Refusals, Refusal{Verdict: refused.verdict.String(), Reason: string(refused.reason), Count: count})
	}
	slices.SortFunc(r.Refusals, func(a, b Refusal) int {
		return cmp.Or(cmp.Compare(a.Verdict, b.Verdict), cmp.Compare(a.Reason, b.Reason))
	})
	for _, p := range l.probes {
		r.LongestGap = max(r.LongestGap, float64(p.LongestGap().Microseconds())/1000)
	}
	return r
}

// setReplicaShare computes the replica share from the read counters before and after the run.
func (r *Report) setReplicaShare(before, after readCounts) {
	replica, primary := after.replica-before.replica, after.primary-before.primary
	r.Reads = replica + primary
	if r.Reads > 0 {
		r.ReplicaShare = replica / r.Reads
	}
}

func (r *Report) addViolations(t *tally) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.ViolationCount, r.Violations = t.violationCount, t.violations
}

// Passed reports whether there was no violation and every session could be verified.
func (r *Report) Passed() bool { return r.ViolationCount == 0 && r.Unverified == 0 }

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("mix %s, seed %d, %.1f s", r.Mix, r.Seed, r.Seconds)
	line("%-20s %8s %10s %10s %10s %10s", "operation", "done", "median ms", "p95 ms", "p99 ms", "worst ms")
	for _, o := range r.Operations {
		line("%-20s %8d %10.2f %10.2f %10.2f %10.2f", o.Name, o.Count, o.Median, o.P95, o.P99, o.Worst)
	}
	for _, entry := range r.Refusals {
		line("refused: %-14s %-16s %8d", entry.Verdict, entry.Reason, entry.Count)
	}
	for text, count := range r.Failures {
		line("failed: %s: %d", text, count)
	}
	if r.ReplicaShare >= 0 {
		line("replica share: %.1f%% of %.0f reads", r.ReplicaShare*percent, r.Reads)
	}
	if r.LongestGap >= 0 {
		line("longest gap between acknowledged probe writes: %.0f ms", r.LongestGap)
	}
	line("consistency violations: %d; sessions not verified: %d", r.ViolationCount, r.Unverified)
	for _, v := range r.Violations {
		line("  %s: %s in %s", v.Kind, v.Text, v.Key)
	}
}
