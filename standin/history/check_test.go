package history

import (
	"strings"
	"testing"
	"time"

	"siskincove/standin/hosting"
)

var (
	epoch      = time.Unix(1_000_000, 0)
	mainRoute  = Route{Name: "main"}
	staleRoute = Route{Name: "history", MaxAge: time.Second}
	ownRoute   = Route{Name: "own", ReadYourWrites: true, MaxAge: time.Second}
)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func position(n uint64) hosting.Position { return hosting.Position{Term: 1, Number: n} }

func record(n uint64, item, value string, requests ...string) hosting.Record {
	return hosting.Record{Position: position(n), Requests: requests, Data: map[string]string{item: value}}
}

func run(id string, conn int, log uint64) hosting.Run {
	return hosting.Run{Request: id, Endpoint: "e", Conn: conn, Log: position(log), Settings: "[owner=s]"}
}

// write returns an acknowledged write of session s.
func write(id string, sent, answered int) Operation {
	return Operation{Session: "s", Route: mainRoute, ID: id, Kind: Write, Writes: true, Item: "x", Sent: at(sent), Answered: at(answered), Result: hosting.Result{Receipt: "e." + id}}
}

func read(id string, r Route, sent int, rows ...string) Operation {
	return Operation{Session: "s", Route: r, ID: id, Kind: Read, Item: "x", Sent: at(sent), Answered: at(sent + 1), Result: hosting.Result{Receipt: "e." + id, Rows: rows}}
}

func withCode(o Operation, code string) Operation {
	o.Result = hosting.Result{Code: code}
	return o
}

func inTransaction(o Operation, kind Kind) Operation {
	o.Kind, o.Transaction = kind, 1
	return o
}

// TestCheck guards against a checker that misses a violation or reports one that did not happen: each case is a small
// history with the violation that it contains, if any.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		history History
		want    string
	}{
		"no violation": {history: History{
			Operations: []Operation{write("w", 0, 10), read("r", mainRoute, 20, "1")},
			Runs:       []hosting.Run{run("w", 1, 0), run("r", 1, 1)}, Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"acknowledged write is lost": {want: "lost: w", history: History{
			Operations: []Operation{write("w", 0, 10)}, Runs: []hosting.Run{run("w", 1, 0)},
		}},
		"write takes effect twice": {want: "duplicate: w", history: History{
			Operations: []Operation{withCode(write("w", 0, 10), NoAnswer)}, Runs: []hosting.Run{run("w", 1, 0), run("w", 1, 1)},
			Log: []hosting.Record{record(1, "x", "1", "w"), record(2, "x", "1", "w")},
		}},
		"refused write is kept": {want: "refused: w", history: History{
			Operations: []Operation{withCode(write("w", 0, 10), "BUSY")}, Runs: []hosting.Run{run("w", 1, 0)},
			Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"write of unknown outcome is kept": {history: History{
			Operations: []Operation{withCode(write("w", 0, 10), "UNSURE")}, Runs: []hosting.Run{run("w", 1, 0)},
			Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"receipt of another request": {want: "wrong answer: r", history: History{
			Operations: []Operation{func() Operation {
				o := read("r", mainRoute, 20, "")
				o.Result.Receipt = "e.other"
				return o
			}()}, Runs: []hosting.Run{run("r", 1, 0)},
		}},
		"rows of another read": {want: "wrong answer: r", history: History{
			Operations: []Operation{write("w", 0, 10), read("r", mainRoute, 20, "2")},
			Runs:       []hosting.Run{run("w", 1, 0), run("r", 1, 1)}, Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"answer without execution": {want: "wrong answer: r", history: History{Operations: []Operation{read("r", mainRoute, 20, "")}}},
		"stale read at the primary": {want: "stale: r", history: History{
			Operations: []Operation{write("w", 0, 10), read("r", mainRoute, 11, "")},
			Runs:       []hosting.Run{run("w", 1, 0), run("r", 1, 0)}, Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"read within the allowed staleness": {history: History{
			Operations: []Operation{write("w", 0, 10), read("r", staleRoute, 900, "")},
			Runs:       []hosting.Run{run("w", 1, 0), run("r", 1, 0)}, Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"read beyond the allowed staleness": {want: "stale: r", history: History{
			Operations: []Operation{write("w", 0, 10), read("r", staleRoute, 1100, "")},
			Runs:       []hosting.Run{run("w", 1, 0), run("r", 1, 0)}, Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"session does not see its own commit": {want: "stale: r", history: History{
			Operations: []Operation{write("w", 0, 10), read("r", ownRoute, 20, "")},
			Runs:       []hosting.Run{run("w", 1, 0), run("r", 1, 0)}, Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"stale run whose answer was not received": {want: "stale: r", history: History{
			Operations: []Operation{write("w", 0, 10), read("r", mainRoute, 20, "1")},
			Runs:       []hosting.Run{run("w", 1, 0), run("r", 2, 0), run("r", 1, 1)}, Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"settings of another session": {want: "wrong settings: r", history: History{
			Operations: []Operation{read("r", mainRoute, 20, "")},
			Runs:       []hosting.Run{{Request: "r", Endpoint: "e", Settings: "[owner=other]"}},
		}},
		"transaction on two connections": {want: "connection changed: transaction", history: History{
			Operations: []Operation{inTransaction(write("a", 1, 2), TransactionStatement), inTransaction(write("b", 3, 4), TransactionStatement), inTransaction(write("c", 5, 6), Commit)},
			Runs:       []hosting.Run{run("a", 1, 0), run("b", 2, 0), run("c", 2, 0)}, Log: []hosting.Record{record(1, "x", "1", "a", "b", "c")},
		}},
		"statement inside another transaction": {want: "interleaved: r", history: History{
			Operations: []Operation{inTransaction(write("a", 1, 2), TransactionStatement), inTransaction(write("c", 5, 6), Commit), read("r", staleRoute, 3, "")},
			Runs:       []hosting.Run{run("a", 1, 0), run("r", 1, 0), run("c", 1, 0)}, Log: []hosting.Record{record(1, "x", "1", "a", "c")},
		}},
		"half of a transaction": {want: "not atomic: a", history: History{
			Operations: []Operation{inTransaction(write("a", 1, 2), TransactionStatement), inTransaction(write("b", 3, 4), TransactionStatement), inTransaction(write("c", 5, 6), Commit)},
			Runs:       []hosting.Run{run("a", 1, 0), run("b", 1, 0), run("c", 1, 0)},
			Log:        []hosting.Record{record(1, "x", "1", "a"), record(2, "x", "1", "b", "c")},
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := strings.Join(Check(test.history), "\n")
			if test.want == "" && got != "" || !strings.Contains(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
