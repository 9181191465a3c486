package loan

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/statement"
	"siskincove/verdict"
)

// TestFailedSetup guards against a borrower's statement that runs though the endpoint has failed the SET or PREPARE that the holder
// sends before it. The holder has acknowledged both to the borrower, so only the holder can notice.
func TestFailedSetup(t *testing.T) {
	set, shape := statement.ProxySet("zone", "utc"), statement.NewPrepared("shape", false)
	prepare := statement.ProxyPrepare(shape)
	begin, rollback := statement.ProxyStep(statement.Begin), statement.ProxyStep(statement.Rollback)
	execute := statement.Step{Request: statement.Request{ID: "q2", Kind: statement.Execute, Name: shape.Name()}}
	tests := map[string]struct {
		refuses, breaks statement.Kind
		// before is exchanged before the endpoint fails anything.
		before, steps []statement.Step
		guard         int
		executed      []string
		// again is what is executed when the borrower repeats the steps at a connection that is well.
		again []string
	}{
		"set refused before a read": {
			refuses: statement.Set, steps: []statement.Step{set, read("q1")},
			executed: []string{"1 set zone"}, again: []string{"1 set zone", "1 read "},
		},
		"prepare refused before an execution": {
			refuses: statement.Prepare, steps: []statement.Step{prepare, execute},
			executed: []string{"1 prepare " + shape.Name()}, again: []string{"1 prepare " + shape.Name(), "1 execute " + shape.Name()},
		},
		"set refused before the begin": {
			refuses: statement.Set, steps: []statement.Step{set, begin, read("q1"), rollback}, guard: 2,
			executed: []string{"1 set zone", "1 begin ", "1 rollback "}, again: []string{"1 set zone", "1 begin ", "1 read ", "1 rollback "},
		},
		"prepare refused in a transaction": {
			refuses: statement.Prepare, before: []statement.Step{begin, read("q0")}, steps: []statement.Step{prepare, execute},
			executed: []string{"1 begin ", "1 read ", "1 prepare " + shape.Name()}, again: []string{"1 prepare " + shape.Name(), "1 execute " + shape.Name()},
		},
		"connection lost at the set": {
			breaks: statement.Set, steps: []statement.Step{set, read("q1")},
			executed: []string{"1 set zone"}, again: []string{"2 set zone", "2 read "},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n := newHolderNetwork(t)
			e := n["first"].endpoint
			loan := mustDial(t, n.workspaceDialer(t.Context()))
			if test.before != nil {
				mustExchange(t, loan, test.before...)
			}
			e.fail(test.refuses, test.breaks)
			answers, _, err := loan.ExchangeGuarded(t.Context(), deadlineIn(time.Second), test.guard, test.steps...)
			if err != nil || len(answers) != len(test.steps) {
				t.Fatalf("%d answers, %v", len(answers), err)
			}
			if last := answers[len(answers)-1]; last.Failure == nil || last.Failure.Verdict != verdict.NotRun {
				t.Errorf("last step was answered with %+v, want a refusal as not run", last)
			}
			executed := n["first"].executed()
			if diff := cmp.Diff(test.executed, executed); diff != "" {
				t.Error(diff)
			}
			e.fail(0, 0)
			if _, _, err := loan.ExchangeGuarded(t.Context(), deadlineIn(time.Second), test.guard, test.steps...); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.again, n["first"].executed()[len(executed):]); diff != "" {
				t.Error(diff)
			}
		})
	}
}
