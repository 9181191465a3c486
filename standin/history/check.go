package history

import (
	"fmt"
	"slices"
	"strings"

	"siskincove/standin/hosting"
)

// checker holds a history with its indexes.
type checker struct {
	History
	broken []string
	// records gives the places in the log at which a request is, and runs the statements of a request.
	records map[string][]int
	runs    map[string][]int
	// transactions are the operations of each transaction, in order.
	transactions map[string][]Operation
}

// Check returns a line for each promise that was broken.
func Check(h History) []string {
	c := &checker{
		History: h, records: make(map[string][]int), runs: make(map[string][]int), transactions: make(map[string][]Operation),
	}
	for at, record := range h.Log {
		for _, id := range record.Requests {
			c.records[id] = append(c.records[id], at)
		}
	}
	for at, run := range h.Runs {
		c.runs[run.Request] = append(c.runs[run.Request], at)
	}
	for _, o := range h.Operations {
		if o.Transaction > 0 {
			name := o.transaction()
			c.transactions[name] = append(c.transactions[name], o)
		}
	}
	for _, o := range h.Operations {
		c.effect(o)
		c.answer(o)
		c.settings(o)
	}
	for _, name := range sorted(c.transactions) {
		c.transaction(name, c.transactions[name])
	}
	c.fresh()
	return c.broken
}

func (o Operation) transaction() string { return fmt.Sprintf("%s/%d", o.Session, o.Transaction) }

func sorted(m map[string][]Operation) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (c *checker) report(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// effect holds a write or commit to what its answer said: acknowledged ones are in the log once, refused ones never, and
// none twice.
func (c *checker) effect(o Operation) {
	ids := []string{o.ID}
	switch o.Kind {
	case Write:
	case Commit:
		ids = c.written(o.transaction())
	default:
		return
	}
	for _, id := range ids {
		n := len(c.records[id])
		switch {
		case n > 1:
			c.report("twice: %s of %s is in the log %d times", id, o.Session, n)
		case o.acknowledged() && n == 0:
			c.report("lost: %s of %s was acknowledged and is not in the log", id, o.Session)
		case promised(o.Result.Code) && n > 0:
			c.report("refused: %s of %s was refused with %s and is in the log", id, o.Session, o.Result.Code)
		}
	}
	if o.Kind == Commit && len(ids) > 1 {
		c.whole(o, ids)
	}
}

// whole holds a transaction to be kept as one or not at all.
func (c *checker) whole(o Operation, ids []string) {
	for _, id := range ids[1:] {
		if !slices.Equal(c.records[id], c.records[ids[0]]) {
			c.report("torn: %s and %s of %s are not in the log together", ids[0], id, o.Session)
		}
	}
}

// written returns the requests of a transaction that succeeded in writing.
func (c *checker) written(name string) []string {
	var out []string
	for _, o := range c.transactions[name] {
		if o.Writes && o.Kind == TransactionStatement && o.Result.Code == "" {
			out = append(out, o.ID)
		}
	}
	return out
}

// answer holds a success to the endpoint's receipt for this request and, outside of a transaction, to the rows that the
// log gives.
func (c *checker) answer(o Operation) {
	if o.Result.Code != "" || o.Kind == Begin || o.Kind == Other {
		return
	}
	if o.Kind == Commit && len(c.written(o.transaction())) == 0 {
		return
	}
	if !strings.HasSuffix(o.Result.Receipt, "."+o.ID) {
		c.report("mixed: %s of %s has the receipt %q", o.ID, o.Session, o.Result.Receipt)
		return
	}
	runs := c.runs[o.ID]
	if len(runs) == 0 {
		c.report("mixed: %s of %s was answered and never ran", o.ID, o.Session)
		return
	}
	if o.Kind != Read || len(o.Result.Rows) != 1 {
		return
	}
	fits := slices.ContainsFunc(runs, func(at int) bool { return c.valueAt(o.Item, at) == o.Result.Rows[0] })
	if !fits && c.lasting(runs) {
		c.report("mixed: %s of %s read %q of %s, which no run of it gives", o.ID, o.Session, o.Result.Rows[0], o.Item)
	}
}

// valueAt returns the value of an item in the log as far as a run could read it.
func (c *checker) valueAt(item string, run int) string {
	for _, record := range slices.Backward(c.Log) {
		if c.Runs[run].Log.Covers(record.Position) {
			if value, ok := record.Data[item]; ok {
				return value
			}
		}
	}
	return ""
}

// lasting reports whether all runs saw commits that last: what a promotion rolled back can't be told from the log.
func (c *checker) lasting(runs []int) bool {
	for _, at := range runs {
		seen := c.Runs[at].Log
		if seen.Number > 0 && !slices.ContainsFunc(c.Log, func(r hosting.Record) bool { return r.Position == seen }) {
			return false
		}
	}
	return true
}

// settings holds every run to the settings of its session: each gives itself its name as a setting.
func (c *checker) settings(o Operation) {
	for _, at := range c.runs[o.ID] {
		if got := c.Runs[at].Settings; !strings.Contains(got, "owner="+o.Session+"]") && !strings.Contains(got, "owner="+o.Session+" ") {
			c.report("pinned: %s of %s ran with the settings %s", o.ID, o.Session, got)
		}
	}
}

// transaction holds the statements of a committed transaction to one connection, on which nothing else ran meanwhile.
func (c *checker) transaction(name string, operations []Operation) {
	committed := slices.ContainsFunc(operations, func(o Operation) bool { return o.Kind == Commit && o.Result.Code == "" })
	if !committed {
		return
	}
	type place struct {
		endpoint string
		conn     int
	}
	var at []int
	ids := make(map[string]bool)
	for _, o := range operations {
		ids[o.ID] = true
		if runs := c.runs[o.ID]; len(runs) > 0 && o.Result.Code == "" {
			at = append(at, runs[len(runs)-1])
		}
	}
	if len(at) == 0 {
		return
	}
	where := place{c.Runs[at[0]].Endpoint, c.Runs[at[0]].Conn}
	for _, n := range at {
		if (place{c.Runs[n].Endpoint, c.Runs[n].Conn}) != where {
			c.report("pinned: transaction %s ran on more than one connection", name)
			return
		}
	}
	for n := slices.Min(at); n <= slices.Max(at); n++ {
		if r := c.Runs[n]; (place{r.Endpoint, r.Conn}) == where && !ids[r.Request] {
			c.report("pinned: %s ran inside transaction %s", r.Request, name)
		}
	}
}
