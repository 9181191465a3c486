package proof

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

// mutation takes one deciding rule out of the sources; its test has to fail then.
type mutation struct {
	file, old, new string
	// test is the package and the pattern of the test that holds the rule.
	pkg, pattern string
}

var mutations = map[string]mutation{
	"certificates of any age": {
		"group/choose.go", "v.history.Oldest(now.Add(certificateMargin - q.MaxAge))", "v.history.Oldest(now.Add(-time.Hour))", "./group", ".",
	},
	"session's own commits forgotten": {
		"dispatch/single.go", "w.session.token = w.session.token.With(w.route.Database, a.Position)", "_ = a.Position", "./dispatch", "TestToken",
	},
	"write tried again after a lost answer": {
		"dispatch/single.go", "	if j.request.Writes {\n		return statement.Refusal(failure, statement.Idle), true\n	}\n", "", "./dispatch", "TestSession",
	},
	"read at the primary without a transaction of ours": {
		"dispatch/single.go", "if j.request.Writes || !c.Lead {", "if true {", "./dispatch", "TestSession",
	},
	"statement in one write with its begin": {
		"dispatch/transaction.go", "	if a := opened[len(steps)]; a.Failure != nil {\n		return a, nil\n	}\n", "	_ = opened\n", "./dispatch", "TestSession",
	},
	"commit without an answer refused": {
		"dispatch/commit.go", "verdict.New(verdict.MayHaveRun, verdict.Broken, \"endpoint did not answer the commit\")", "verdict.New(verdict.NotRun, verdict.Broken, \"endpoint did not answer the commit\")", "./dispatch", "TestSession",
	},
	"doubt told as a refusal": {
		"platform/line/code.go", "	default:\n		return codeUnsure", "	default:\n		return codeBusy", "./platform/line", ".",
	},
	"connections not cleared of settings": {
		"connection/held.go", "if h.uncertain || len(h.prepared)", "if len(h.prepared)", "./dispatch", "TestChangedSettings",
	},
	"connections of another session's settings": {
		"connection/held.go", "	if maps.Equal(h.settings, settings) {\n		return steps\n	}\n", "	if true {\n		return steps\n	}\n", "./dispatch", "TestSession",
	},
	"transaction's connection given back open": {
		"dispatch/transaction.go", "clean := err == nil && answers[0].Failure == nil && answers[0].State == statement.Idle", "clean := true\n		_, _ = answers, err", "./dispatch", ".",
	},
	"a replica too few held": {
		"succession/succession.go", "if missing >= max(s.plan.Acknowledge, 1) {", "if missing > max(s.plan.Acknowledge, 1) {", "./succession", "Model",
	},
	"holds not confirmed": {
		"succession/succession.go", "case r.Standing.Held != s.plan.Term || r.Standing.Log != s.held[at].log:", "case false:", "./succession", "TestSuccession",
	},
	"lost primary that answers not demoted": {
		"succession/succession.go", "	case !s.plan.Answers:\n		return s.choose()\n", "	case true:\n		return s.choose()\n", "./succession", "Model",
	},
	"order forgotten after an answer was lost": {
		"succession/succession.go", "	if s.unknown || s.ordered {\n		return s.superseded(\"endpoint does not lead in time\")\n	}\n", "", "./succession", "Model",
	},
	"log of the lost primary's term not asked for": {
		"succession/plan.go", "return uint64(log.Term) >= uint64(f.Term) || f.Known && log.Covers(f.Start)", "return true", "./succession", "Floor",
	},
	"departed endpoints forgotten": {
		"succession/departure.go", "		if a.settled && sight.Departed {", "		if sight.Departed {", "./succession", "Departure",
	},
	"fencing tokens reserved without a condition": {
		"succession/reservation.go", "[]store.Expectation{{Key: key, Version: version}},", "[]store.Expectation{{Key: key, Version: version}}[:0],", "./succession", "Reserve",
	},
	"configuration goes back": {
		"directory/directory.go", "	if declared.Version <= d.declared.Version {\n		return\n	}\n", "", "./directory", ".",
	},
	"holders lend what they do not hold": {
		"loan/loan.go", "	if !ok {\n		return verdict.New(verdict.NotRun, verdict.Unreachable, \"instance does not hold", "	if false && !ok {\n		return verdict.New(verdict.NotRun, verdict.Unreachable, \"instance does not hold", "./loan", "TestRefused",
	},
	"full endpoint asked as before": {
		"limit/window.go", "w.size, w.at = max(w.width(now)*windowCut, windowFloor), now", "w.at = now", "./limit", "TestWindow",
	},
	"every read seeks the proof of the lead": {
		"dispatch/round.go", "return !w.database.Seek()", "_ = w.database.Seek()\n	return false", "./simulation", "TestRestart",
	},
	"primary that is long away waited for": {
		"dispatch/round.go", "if away < failoverLimit {", "if true {", "./simulation", "TestNoPrimary",
	},
	"queue that refused asked again": {
		"dispatch/work.go", "if w.round.queueFull && !w.round.retryable {", "if false {", "./simulation", "TestRefusedEarly",
	},
	"callers' thinking counted as work": {
		"connection/pool.go", "took, h.idleInTxTotal = max(took-h.idleInTxTotal, 0), 0", "h.idleInTxTotal = 0", "./connection", "TestIdleInTransactionIsNotWork",
	},
	"library's reader left behind": {
		"pool/connection.go", "if err := plain.SyncConn(ctx); err != nil {", "if err := error(nil); err != nil {", "./pool", "TestStalledStart",
	},
	"slots left out of the division": {
		"database/registry.go", "own >= minOwnConnections && !crowded ||", "own >= minOwnConnections && (!crowded || true) ||", "./database", "TestDivide",
	},
	"borrowed connection given back in a transaction": {
		"loan/loan.go", "if answers[len(answers)-1].State == statement.Idle {", "if true {", "./loan", "TestTransaction",
	},
	"connections divided without the rest for coordinators": {
		"database/registry.go", "max(min(int(connectionShare*float64(connections)), connections-minConnectionReserve), 1)", "max(connections*2, 1)", "./database", "TestDivide",
	},
	"leaving endpoint not looked at again": {
		"dispatch/single.go", "if err == nil && !w.database.AcceptsWork(c.Endpoint.Name) {", "if false {", "./dispatch", "TestLeavingWhileWaiting",
	},
	"settings file not compared": {
		"settings/change.go", "		own.Set(other)\n", "", "./settings", "TestWith",
	},
	"own row taken for another's": {
		"store/update.go", "	case bytes.Equal(stored.Value, value):\n		return value, nil\n", "	case bytes.Equal(stored.Value, value) && false:\n", "./store", "TestUpdate",
	},
}

// TestMutationsApply guards against a rename that leaves the table without effect: each entry's text stands once in its
// file, and its pattern names a test.
func TestMutationsApply(t *testing.T) {
	for name, m := range mutations {
		t.Run(name, func(t *testing.T) {
			source, err := os.ReadFile(filepath.Join("..", m.file))
			if err != nil {
				t.Fatal(err)
			}
			if n := strings.Count(string(source), m.old); n != 1 {
				t.Errorf("%s has the text %d times: %q", m.file, n, m.old)
			}
			if names := testNames(t, m.pkg); !regexp.MustCompile(m.pattern).MatchString(names) {
				t.Errorf("%s has no test %s: %s", m.pkg, m.pattern, names)
			}
		})
	}
}

// testNames returns the names of the tests of a directory.
func testNames(t *testing.T, directory string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", directory, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	var names strings.Builder
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(`(?m)^func (Test\w+)`).FindAllStringSubmatch(string(data), -1) {
			names.WriteString(m[1] + "\n")
		}
	}
	return names.String()
}

// TestMutations takes one rule after the other out of a copy of the sources and holds the test of that rule to fail. It
// runs when SISKINCOVE_MUTATIONS is set, since each builds a package anew.
func TestMutations(t *testing.T) {
	if os.Getenv("SISKINCOVE_MUTATIONS") == "" {
		t.Skip("SISKINCOVE_MUTATIONS is not set")
	}
	for name, m := range mutations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			root := t.TempDir()
			if out, err := exec.Command("sh", "-c", "cd .. && git ls-files -z -co --exclude-standard ':!journal' | xargs -0 cp --parents -t "+root).CombinedOutput(); err != nil {
				t.Fatalf("%v: %s", err, out)
			}
			file := filepath.Join(root, m.file)
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Count(string(source), m.old) != 1 {
				t.Fatalf("%s does not have the rule once", m.file)
			}
			writeFile(t, file, strings.Replace(string(source), m.old, m.new, 1))
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
			defer cancel()
			command := exec.CommandContext(ctx, "go", "test", m.pkg, "-run", m.pattern)
			command.Dir = root
			out, err := command.CombinedOutput()
			switch {
			case err == nil:
				t.Errorf("%s -run %s passes without the rule", m.pkg, m.pattern)
			case !strings.Contains(string(out), "--- FAIL"):
				t.Errorf("no test failed: %s", tail(string(out), 12))
			default:
				t.Logf("%s -run %s fails: %s", m.pkg, m.pattern, firstFailure(string(out)))
			}
		})
	}
}

// firstFailure returns the name of the first test that failed and what it said.
func firstFailure(out string) string {
	lines := strings.Split(out, "\n")
	for n, line := range lines {
		if strings.Contains(line, "--- FAIL") {
			return strings.TrimSpace(strings.Join(lines[n:min(n+3, len(lines))], " "))
		}
	}
	return ""
}
