package history

import (
	"slices"
	"time"

	"siskincove/standin/hosting"
)

// commit is an acknowledged commit that is in the log.
type commit struct {
	session  string
	answered time.Time
	position hosting.Position
}

// checkFreshness checks that every run of a read saw the commits that its route guarantees. Their age counts from the
// time before the first byte of the read, or of the BEGIN of its transaction, was sent.
func (c *checker) checkFreshness() {
	commits := c.acknowledgedCommits()
	transactionStart := make(map[string]time.Time)
	for _, o := range c.Operations {
		start := o.Sent
		switch {
		case o.Kind == Begin:
			transactionStart[o.transactionName()] = o.Sent
			continue
		case o.Kind == TransactionStatement:
			start = transactionStart[o.transactionName()]
		case o.Kind != Read:
			continue
		}
		for _, index := range c.runIndexes[o.ID] {
			c.checkVisible(o, c.Runs[index], start, commits)
		}
	}
}

// checkVisible reports the first commit that a run should have seen and did not.
func (c *checker) checkVisible(o Operation, run hosting.Run, start time.Time, commits []commit) {
	for _, earlier := range commits {
		mustSee := earlier.answered.Before(start.Add(-o.Route.MaxAge)) || o.Route.ReadYourWrites && earlier.session == o.Session && earlier.answered.Before(start)
		if mustSee && !run.Log.Covers(earlier.position) {
			c.report("stale: %s of %s on %s ran at %s of %s, which does not cover %s, acknowledged %s before", o.ID, o.Session, o.Route.Name,
				run.Log, run.Endpoint, earlier.position, start.Sub(earlier.answered).Round(time.Millisecond))
			return
		}
	}
}

// acknowledgedCommits returns the acknowledged commits that are in the log, in the order of their answers.
func (c *checker) acknowledgedCommits() []commit {
	var out []commit
	for _, o := range c.Operations {
		if !o.acknowledged() {
			continue
		}
		id := o.ID
		if o.Kind == Commit {
			written := c.writtenRequests(o.transactionName())
			if len(written) == 0 {
				continue
			}
			id = written[0]
		}
		if indexes := c.logIndexes[id]; len(indexes) == 1 {
			out = append(out, commit{session: o.Session, answered: o.Answered, position: c.Log[indexes[0]].Position})
		}
	}
	slices.SortFunc(out, func(a, b commit) int { return a.answered.Compare(b.answered) })
	return out
}
