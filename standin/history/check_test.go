package history

import (
	"strings"
	"testing"
	"time"

	"siskincove/standin/hosting"
)

var (
	epoch   = time.Unix(1_000_000, 0)
	primary = Route{Name: "main"}
	bounded = Route{Name: "history", MaxAge: time.Second}
	own     = Route{Name: "own", ReadYourWrites: true, MaxAge: time.Second}
)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func position(n uint64) hosting.Position { return hosting.Position{Term: 1, Number: n} }

func record(n uint64, item, value string, requests ...string) hosting.Record {
	return hosting.Record{Position: position(n), Requests: requests, Data: map[string]string{item: value}}
}

func run(id string, conn int, log uint64) hosting.Run {
	return hosting.Run{Request: id, Endpoint: "e", Conn: conn, Log: position(log), Settings: "[owner=s]"}
}

// write is an acknowledged write of session s.
func write(id string, sent, answered int) Operation {
	return Operation{Session: "s", Route: primary, ID: id, Kind: Write, Writes: true, Item: "x", Sent: at(sent), Answered: at(answered), Result: hosting.Result{Receipt: "e." + id}}
}

func read(id string, r Route, sent int, rows ...string) Operation {
	return Operation{Session: "s", Route: r, ID: id, Kind: Read, Item: "x", Sent: at(sent), Answered: at(sent + 1), Result: hosting.Result{Receipt: "e." + id, Rows: rows}}
}

func coded(o Operation, code string) Operation {
	o.Result = hosting.Result{Code: code}
	return o
}

func inside(o Operation, kind Kind) Operation {
	o.Kind, o.Transaction = kind, 1
	return o
}

// TestCheck gives small histories and the promise that each breaks, none for those that are in order.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		history History
		want    string
	}{
		"in order": {history: History{
			Operations: []Operation{write("w", 0, 10), read("r", primary, 20, "1")},
			Runs:       []hosting.Run{run("w", 1, 0), run("r", 1, 1)}, Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"acknowledged write is lost": {want: "lost: w", history: History{
			Operations: []Operation{write("w", 0, 10)}, Runs: []hosting.Run{run("w", 1, 0)},
		}},
		"write took effect twice": {want: "twice: w", history: History{
			Operations: []Operation{coded(write("w", 0, 10), NoAnswer)}, Runs: []hosting.Run{run("w", 1, 0), run("w", 1, 1)},
			Log: []hosting.Record{record(1, "x", "1", "w"), record(2, "x", "1", "w")},
		}},
		"refused write is kept": {want: "refused: w", history: History{
			Operations: []Operation{coded(write("w", 0, 10), "BUSY")}, Runs: []hosting.Run{run("w", 1, 0)},
			Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"unsure write is kept": {history: History{
			Operations: []Operation{coded(write("w", 0, 10), "UNSURE")}, Runs: []hosting.Run{run("w", 1, 0)},
			Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"receipt of another request": {want: "mixed: r", history: History{
			Operations: []Operation{func() Operation {
				o := read("r", primary, 20, "")
				o.Result.Receipt = "e.other"
				return o
			}()}, Runs: []hosting.Run{run("r", 1, 0)},
		}},
		"rows of another read": {want: "mixed: r", history: History{
			Operations: []Operation{write("w", 0, 10), read("r", primary, 20, "2")},
			Runs:       []hosting.Run{run("w", 1, 0), run("r", 1, 1)}, Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"answer without a run": {want: "mixed: r", history: History{Operations: []Operation{read("r", primary, 20, "")}}},
		"stale read at the primary": {want: "stale: r", history: History{
			Operations: []Operation{write("w", 0, 10), read("r", primary, 11, "")},
			Runs:       []hosting.Run{run("w", 1, 0), run("r", 1, 0)}, Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"read within its allowance": {history: History{
			Operations: []Operation{write("w", 0, 10), read("r", bounded, 900, "")},
			Runs:       []hosting.Run{run("w", 1, 0), run("r", 1, 0)}, Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"read beyond its allowance": {want: "stale: r", history: History{
			Operations: []Operation{write("w", 0, 10), read("r", bounded, 1100, "")},
			Runs:       []hosting.Run{run("w", 1, 0), run("r", 1, 0)}, Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"session does not see its own commit": {want: "stale: r", history: History{
			Operations: []Operation{write("w", 0, 10), read("r", own, 20, "")},
			Runs:       []hosting.Run{run("w", 1, 0), run("r", 1, 0)}, Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"a run that nobody saw the answer of is stale too": {want: "stale: r", history: History{
			Operations: []Operation{write("w", 0, 10), read("r", primary, 20, "1")},
			Runs:       []hosting.Run{run("w", 1, 0), run("r", 2, 0), run("r", 1, 1)}, Log: []hosting.Record{record(1, "x", "1", "w")},
		}},
		"settings of another session": {want: "pinned: r", history: History{
			Operations: []Operation{read("r", primary, 20, "")},
			Runs:       []hosting.Run{{Request: "r", Endpoint: "e", Settings: "[owner=other]"}},
		}},
		"transaction on two connections": {want: "pinned: transaction", history: History{
			Operations: []Operation{inside(write("a", 1, 2), TransactionStatement), inside(write("b", 3, 4), TransactionStatement), inside(write("c", 5, 6), Commit)},
			Runs:       []hosting.Run{run("a", 1, 0), run("b", 2, 0), run("c", 2, 0)}, Log: []hosting.Record{record(1, "x", "1", "a", "b", "c")},
		}},
		"statement in another's transaction": {want: "pinned: r", history: History{
			Operations: []Operation{inside(write("a", 1, 2), TransactionStatement), inside(write("c", 5, 6), Commit), read("r", bounded, 3, "")},
			Runs:       []hosting.Run{run("a", 1, 0), run("r", 1, 0), run("c", 1, 0)}, Log: []hosting.Record{record(1, "x", "1", "a", "c")},
		}},
		"half of a transaction": {want: "torn: a", history: History{
			Operations: []Operation{inside(write("a", 1, 2), TransactionStatement), inside(write("b", 3, 4), TransactionStatement), inside(write("c", 5, 6), Commit)},
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
