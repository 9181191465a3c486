package soak

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"siskincove/standin/history"
)

// Report is what a soak has seen.
type Report struct {
	Seed      uint64
	Duration  time.Duration
	Instances int
	// Previous is the directory of the programs of another build that ran beside this one, empty for none.
	Previous string
	Started  time.Time
	Series   [][]Fault
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

// Print writes the report as text: the verdict first, then faults and answers, then a table of seconds.
func (r *Report) Print(w io.Writer) error {
	out := &errorWriter{w: w}
	if r.Passed() {
		out.printf("passed: no guarantee was violated\n")
	} else {
		out.printf("failed: %d checks\n", len(r.Violations))
	}
	for _, v := range r.Violations {
		out.printf("  violated: %s\n", v)
	}
	out.printf("seed %d, %d instances, %s: %d statements run, %d commits, %d promotions\n", r.Seed, r.Instances, r.Duration, r.Runs, r.Commits, r.Promotions)
	again := fmt.Sprintf("again: siskincove soak --seed %d --duration %s --instances %d", r.Seed, r.Duration, r.Instances)
	if r.Previous != "" {
		again += " --previous " + r.Previous
	}
	out.printf("%s --report DIR\n", again)
	out.printf("seconds in which nobody was served: %s\n", r.unserved())
	out.printTable("faults", r.Injected)
	out.printTable("answers", r.Outcomes)
	out.printf("\n%6s %8s %8s %10s %10s\n", "second", "served", "refused", "unanswered", "slowest")
	for n, s := range r.Seconds {
		out.printf("%6d %8d %8d %10d %10s\n", n, s.Served, s.Refused, s.Unanswered, s.Slowest.Round(time.Millisecond))
	}
	return out.err
}

// unserved returns how many seconds had no operation served, and which.
func (r *Report) unserved() string {
	var seconds []string
	for n, s := range r.Seconds {
		if s.Served == 0 {
			seconds = append(seconds, strconv.Itoa(n))
		}
	}
	if len(seconds) == 0 {
		return "none"
	}
	return fmt.Sprintf("%d (%s)", len(seconds), strings.Join(seconds, ", "))
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

// printTable writes counts by name.
func (e *errorWriter) printTable(title string, counts map[string]int) {
	e.printf("\n%s\n", title)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		e.printf("%8d  %s\n", counts[name], name)
	}
}
