package history

import (
	"fmt"
	"slices"
	"strings"

	"siskincove/standin/hosting"
)

// checker holds the history under check, lookup tables for it and the violations found so far.
type checker struct {
	History
	// violations are the messages that Check returns.
	violations []string
	// logIndexes maps the ID of a request to the indexes in Log of the records that contain its write, and runIndexes maps
	// it to the indexes in Runs of its executions.
	logIndexes map[string][]int
	runIndexes map[string][]int
	// transactions are the operations of each transaction, in order, by its name.
	transactions map[string][]Operation
}

// Check returns one line for each violated guarantee.
func Check(h History) []string {
	c := &checker{
		History: h, logIndexes: make(map[string][]int), runIndexes: make(map[string][]int), transactions: make(map[string][]Operation),
	}
	for index, record := range h.Log {
		for _, id := range record.Requests {
			c.logIndexes[id] = append(c.logIndexes[id], index)
		}
	}
	for index, run := range h.Runs {
		c.runIndexes[run.Request] = append(c.runIndexes[run.Request], index)
	}
	for _, o := range h.Operations {
		if o.Transaction > 0 {
			name := o.transactionName()
			c.transactions[name] = append(c.transactions[name], o)
		}
	}
	for _, o := range h.Operations {
		c.checkEffect(o)
		c.checkAnswer(o)
		c.checkSettings(o)
	}
	for _, name := range sortedKeys(c.transactions) {
		c.checkTransaction(name, c.transactions[name])
	}
	c.checkFreshness()
	c.checkWorkspaces()
	return c.violations
}

// transactionName returns a name that is unique in a history.
func (o Operation) transactionName() string { return fmt.Sprintf("%s/%d", o.Session, o.Transaction) }

func sortedKeys(m map[string][]Operation) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (c *checker) report(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkEffect checks the effect of a write or commit against its answer: acknowledged ones are in the log, refused ones
// are not, and none is in it twice.
func (c *checker) checkEffect(o Operation) {
	ids := []string{o.ID}
	switch o.Kind {
	case Write:
	case Commit:
		ids = c.writtenRequests(o.transactionName())
	default:
		return
	}
	for _, id := range ids {
		n := len(c.logIndexes[id])
		switch {
		case n > 1:
			c.report("duplicate: %s of %s is in the log %d times", id, o.Session, n)
		case o.acknowledged() && n == 0:
			c.report("lost: %s of %s was acknowledged but is not in the log", id, o.Session)
		case isRefused(o.Result.Code) && n > 0:
			c.report("refused: %s of %s was refused with %s but is in the log", id, o.Session, o.Result.Code)
		}
	}
	if o.Kind == Commit && len(ids) > 1 {
		c.checkAtomic(o, ids)
	}
}

// checkAtomic checks that the writes of a transaction are all in the same record of the log or in none.
func (c *checker) checkAtomic(o Operation, ids []string) {
	for _, id := range ids[1:] {
		if !slices.Equal(c.logIndexes[id], c.logIndexes[ids[0]]) {
			c.report("not atomic: %s and %s of %s are not in the same record of the log", ids[0], id, o.Session)
		}
	}
}

// writtenRequests returns the requests of a transaction that wrote successfully.
func (c *checker) writtenRequests(name string) []string {
	var out []string
	for _, o := range c.transactions[name] {
		if o.Writes && o.Kind == TransactionStatement && o.Result.Code == "" {
			out = append(out, o.ID)
		}
	}
	return out
}

// checkAnswer checks that a successful answer has the endpoint's receipt for this request and that a read outside of a
// transaction returned the value that the log gives. A receipt is the endpoint's proof that it ran a request and ends in
// the request's ID.
func (c *checker) checkAnswer(o Operation) {
	if o.Result.Code != "" || o.Kind == Begin || o.Kind == Other {
		return
	}
	if o.Kind == Commit && len(c.writtenRequests(o.transactionName())) == 0 {
		return
	}
	if !strings.HasSuffix(o.Result.Receipt, "."+o.ID) {
		c.report("wrong answer: %s of %s has the receipt %q", o.ID, o.Session, o.Result.Receipt)
		return
	}
	runs := c.runIndexes[o.ID]
	if len(runs) == 0 {
		c.report("wrong answer: %s of %s was answered but never ran", o.ID, o.Session)
		return
	}
	if o.Kind != Read || len(o.Result.Rows) != 1 {
		return
	}
	matches := slices.ContainsFunc(runs, func(index int) bool { return c.valueAt(o.Item, index) == o.Result.Rows[0] })
	if !matches && c.runsInLog(runs) {
		c.report("wrong answer: %s of %s read %q of %s, which none of its runs could read", o.ID, o.Session, o.Result.Rows[0], o.Item)
	}
}

// valueAt returns the value of an item at the log position up to which the run with the given index could read.
func (c *checker) valueAt(item string, index int) string {
	for _, record := range slices.Backward(c.Log) {
		if c.Runs[index].Log.Covers(record.Position) {
			if value, ok := record.Data[item]; ok {
				return value
			}
		}
	}
	return ""
}

// runsInLog reports whether all runs read at positions that are still in the log. What was read at a position that a
// promotion rolled back can't be determined from the log.
func (c *checker) runsInLog(runs []int) bool {
	for _, index := range runs {
		position := c.Runs[index].Log
		if position.Number > 0 && !slices.ContainsFunc(c.Log, func(r hosting.Record) bool { return r.Position == position }) {
			return false
		}
	}
	return true
}

// checkSettings checks that every run had the settings of its session. Each session sets the setting owner to its own
// name. The settings of a run are printed as [name=value name=value], so a value ends at a space or a bracket.
func (c *checker) checkSettings(o Operation) {
	for _, index := range c.runIndexes[o.ID] {
		if got := c.Runs[index].Settings; !strings.Contains(got, "owner="+o.Session+"]") && !strings.Contains(got, "owner="+o.Session+" ") {
			c.report("wrong settings: %s of %s ran with the settings %s", o.ID, o.Session, got)
		}
	}
}

// checkTransaction checks that all statements of a committed transaction ran on one connection and that no other
// statement ran there in between.
func (c *checker) checkTransaction(name string, operations []Operation) {
	committed := slices.ContainsFunc(operations, func(o Operation) bool { return o.Kind == Commit && o.Result.Code == "" })
	if !committed {
		return
	}
	type connection struct {
		endpoint string
		number   int
	}
	var indexes []int
	ids := make(map[string]bool)
	for _, o := range operations {
		ids[o.ID] = true
		if runs := c.runIndexes[o.ID]; len(runs) > 0 && o.Result.Code == "" {
			indexes = append(indexes, runs[len(runs)-1])
		}
	}
	if len(indexes) == 0 {
		return
	}
	conn := connection{c.Runs[indexes[0]].Endpoint, c.Runs[indexes[0]].Conn}
	for _, index := range indexes {
		if (connection{c.Runs[index].Endpoint, c.Runs[index].Conn}) != conn {
			c.report("connection changed: transaction %s ran on more than one connection", name)
			return
		}
	}
	for index := slices.Min(indexes); index <= slices.Max(indexes); index++ {
		if r := c.Runs[index]; (connection{r.Endpoint, r.Conn}) == conn && !ids[r.Request] {
			c.report("interleaved: %s ran on the connection of transaction %s between its statements", r.Request, name)
		}
	}
}
