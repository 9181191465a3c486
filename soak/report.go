package soak

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"siskincove/standin/history"
)

// Report is what a soak has seen.
type Report struct {
	Seed      uint64
	Duration  time.Duration
	Instances int
	Started   time.Time
	Series    [][]Fault
	// Violations are the checks that failed.
	Violations []string
	// Injected counts the faults by name, Outcomes the operations by the code of their answer.
	Injected map[string]int
	Outcomes map[string]int
	// Seconds has a row for each second from the start.
	Seconds []Second
	// Runs is how many statements the endpoints ran.
	Runs, Commits, Promotions int
}

// Second counts the operations that were answered in a second.
type Second struct {
	Served, Refused, Unanswered int
	// Slowest is the longest time of an operation that was served.
	Slowest time.Duration
}

// served is the outcome of operations that succeeded.
const served = "served"

// Passed reports whether no check failed.
func (r *Report) Passed() bool { return len(r.Violations) == 0 }

func (r *Report) fail(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

func (r *Report) summarize(operations []history.Operation) {
	r.Outcomes = make(map[string]int)
	for _, o := range operations {
		r.Outcomes[cmp.Or(o.Result.Code, served)]++
		n := int(o.Answered.Sub(r.Started) / time.Second)
		for len(r.Seconds) <= n {
			r.Seconds = append(r.Seconds, Second{})
		}
		s := &r.Seconds[n]
		switch o.Result.Code {
		case "":
			s.Served++
			s.Slowest = max(s.Slowest, o.Answered.Sub(o.Sent))
		case history.NoAnswer:
			s.Unanswered++
		default:
			s.Refused++
		}
	}
}

// Print writes the report as text with tables.
func (r *Report) Print(w io.Writer) error {
	out := &errorWriter{w: w}
	out.printf("seed %d, %d instances, %s: %d statements run, %d commits, %d promotions\n", r.Seed, r.Instances, r.Duration, r.Runs, r.Commits, r.Promotions)
	out.printf("again: siskincove soak --seed %d --duration %s --instances %d --report DIR\n", r.Seed, r.Duration, r.Instances)
	for _, v := range r.Violations {
		out.printf("violated: %s\n", v)
	}
	for _, table := range []map[string]int{r.Outcomes, r.Injected} {
		out.printf("\n")
		for _, name := range slices.Sorted(maps.Keys(table)) {
			out.printf("%8d  %s\n", table[name], name)
		}
	}
	out.printf("\nsecond,served,refused,unanswered,slowest\n")
	for n, s := range r.Seconds {
		out.printf("%d,%d,%d,%d,%s\n", n, s.Served, s.Refused, s.Unanswered, s.Slowest.Round(time.Millisecond))
	}
	return out.err
}

// errorWriter keeps the first error of several writes.
type errorWriter struct {
	w   io.Writer
	err error
}

func (e *errorWriter) printf(format string, args ...any) {
	if e.err == nil {
		_, e.err = fmt.Fprintf(e.w, format, args...)
	}
}
