package logs

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"siskincove/event"
	"siskincove/verdict"
)

// Outcomes of a lost request.
const (
	// Refused: the request did not run.
	Refused = "refused"
	// Failed: the request may have run.
	Failed = "failed"
	// Late: the request was served after its route's target latency.
	Late = "late"
)

// Loss counts the requests that were lost in one interval in the same way.
type Loss struct {
	// Start is when the interval starts.
	Start    time.Time `json:"start"`
	Database string    `json:"database"`
	// Workspace is the workspace of the requests' callers, empty for none.
	Workspace string `json:"workspace"`
	Outcome   string `json:"outcome"`
	// Choice is the routing rule of the last choice of an endpoint.
	Choice string `json:"choice"`
	// Reason is the one that the caller got, empty for a late request.
	Reason string `json:"reason"`
	// Cause is why the last attempt failed, or why no attempt was made.
	Cause    string `json:"cause"`
	Requests int    `json:"requests"`
	// Tries is how many endpoints were asked, for all these requests together.
	Tries int `json:"tries"`
	// Mean and Longest are the time from a request's arrival to its answer, in nanoseconds in JSON.
	Mean    time.Duration `json:"mean"`
	Longest time.Duration `json:"longest"`
}

// lossKey is what the requests of a Loss have in common.
type lossKey struct {
	start                                               int64
	database, workspace, outcome, choice, reason, cause string
}

type lossSum struct {
	requests, tries int
	took, longest   time.Duration
}

// Losses collects the requests that were refused, failed or late.
type Losses struct {
	interval time.Duration
	sums     map[lossKey]lossSum
	// causes maps a request in progress to why its last attempt failed.
	causes map[string]string
}

// NewLosses returns an empty collection that counts by intervals of the given length, which must be positive.
func NewLosses(interval time.Duration) *Losses {
	return &Losses{interval: interval, sums: make(map[lossKey]lossSum), causes: make(map[string]string)}
}

// Add takes in a line. The lines of one instance have to be added in the order in which they were written.
func (l *Losses) Add(e Entry) {
	switch e.Number {
	case event.StatementFailed.Number:
		l.causes[attemptKey(e)] = e.Field("error")
	case event.RequestServed.Number:
		l.addAnswer(e, Late)
	case event.RequestRefused.Number:
		outcome := Failed
		if e.Field("verdict") == verdict.NotRun.String() {
			outcome = Refused
		}
		l.addAnswer(e, outcome)
	}
}

// attemptKey identifies a request at the instance of its caller, which may send it again elsewhere under the same ID.
func attemptKey(e Entry) string { return e.Instance + " " + e.Field("request") }

// addAnswer takes in the line of a final answer.
func (l *Losses) addAnswer(e Entry, outcome string) {
	request := attemptKey(e)
	cause, attempted := l.causes[request]
	delete(l.causes, request)
	if outcome == Late && e.Field("late") == "" {
		return
	}
	if !attempted {
		cause = e.Field("cause")
	}
	took, _ := time.ParseDuration(e.Field("took"))
	tries, _ := strconv.Atoi(e.Field("tries"))
	key := lossKey{
		start: e.Time.Truncate(l.interval).UnixNano(), database: e.Field("database"), workspace: e.Field("workspace"), outcome: outcome,
		choice: e.Field("choice"), reason: e.Field("reason"), cause: shortCause(cause),
	}
	sum := l.sums[key]
	sum.requests++
	sum.tries += tries
	sum.took += took
	sum.longest = max(sum.longest, took)
	l.sums[key] = sum
}

// shortCause removes from an error's text what other fields tell: the number of attempts and the verdict.
func shortCause(cause string) string {
	for _, from := range []string{"; gave up after ", " (" + verdict.NotRun.String() + ":", " (" + verdict.MayHaveRun.String() + ":"} {
		if before, after, found := strings.Cut(cause, from); found {
			_, rest, _ := strings.Cut(after, ")")
			cause = before + rest
		}
	}
	return cause
}

// List returns the losses by interval, and within one by falling number of requests.
func (l *Losses) List() []Loss {
	out := make([]Loss, 0, len(l.sums))
	for key, sum := range l.sums {
		out = append(out, Loss{
			Start: time.Unix(0, key.start).UTC(), Database: key.database, Workspace: key.workspace, Outcome: key.outcome, Choice: key.choice, Reason: key.reason,
			Cause: key.cause, Requests: sum.requests, Tries: sum.tries, Mean: sum.took / time.Duration(sum.requests), Longest: sum.longest,
		})
	}
	slices.SortFunc(out, func(a, b Loss) int {
		return cmp.Or(
			a.Start.Compare(b.Start), cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Database, b.Database), cmp.Compare(a.Workspace, b.Workspace),
			cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Choice, b.Choice), cmp.Compare(a.Cause, b.Cause),
		)
	})
	return out
}
