package history

import (
	"slices"
	"time"

	"siskincove/standin/hosting"
)

// commit is an acknowledged commit that lasts.
type commit struct {
	session  string
	answered time.Time
	position hosting.Position
}

// fresh holds every run of a read to have seen the commits that its route promises, counted from the first byte of the
// read or of its transaction.
func (c *checker) fresh() {
	commits := c.commits()
	begun := make(map[string]time.Time)
	for _, o := range c.Operations {
		since := o.Sent
		switch {
		case o.Kind == Begin:
			begun[o.transaction()] = o.Sent
			continue
		case o.Kind == TransactionStatement:
			since = begun[o.transaction()]
		case o.Kind != Read:
			continue
		}
		for _, at := range c.runs[o.ID] {
			c.saw(o, c.Runs[at], since, commits)
		}
	}
}

// saw reports a commit that a run had to see and did not.
func (c *checker) saw(o Operation, run hosting.Run, since time.Time, commits []commit) {
	for _, k := range commits {
		due := k.answered.Before(since.Add(-o.Route.MaxAge)) || o.Route.ReadYourWrites && k.session == o.Session && k.answered.Before(since)
		if due && !run.Log.Covers(k.position) {
			c.report("stale: %s of %s on %s ran at %s of %s, which lacks %s, acknowledged %s before", o.ID, o.Session, o.Route.Name,
				run.Log, run.Endpoint, k.position, since.Sub(k.answered).Round(time.Millisecond))
			return
		}
	}
}

// commits returns what was acknowledged and lasts.
func (c *checker) commits() []commit {
	var out []commit
	for _, o := range c.Operations {
		if !o.acknowledged() {
			continue
		}
		id := o.ID
		if o.Kind == Commit {
			written := c.written(o.transaction())
			if len(written) == 0 {
				continue
			}
			id = written[0]
		}
		if at := c.records[id]; len(at) == 1 {
			out = append(out, commit{session: o.Session, answered: o.Answered, position: c.Log[at[0]].Position})
		}
	}
	slices.SortFunc(out, func(a, b commit) int { return a.answered.Compare(b.answered) })
	return out
}
