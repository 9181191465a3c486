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

// mutation removes one rule from the source by replacing old with new in file; a test has to fail on it.
type mutation struct {
	file, old, new string
	// pkg and pattern select the test that has to fail, as in go test pkg -run pattern.
	pkg, pattern string
}

var mutations = map[string]mutation{
	"age of certificates ignored": {
		"group/choose.go", "v.history.Oldest(now.Add(certificateMargin - q.MaxAge))", "v.history.Oldest(now.Add(-time.Hour))", "./group", ".",
	},
	"position of the session's own commit not recorded": {
		"dispatch/single.go", "w.session.token = w.session.token.With(w.route.Database, a.Position)", "_ = a.Position", "./dispatch", "TestToken",
	},
	"write retried after a lost answer": {
		"dispatch/single.go", "	if j.request.Writes {\n		return statement.Refusal(failure, statement.Idle), true\n	}\n", "", "./dispatch", "TestSession",
	},
	"read at the primary without a transaction of the proxy": {
		"dispatch/single.go", "if j.request.Writes || !c.Lead {", "if true {", "./dispatch", "TestSession",
	},
	"failed begin of a transaction ignored": {
		"connection/pooledconn.go", "if NotSent(answers, guard) != nil {", "if false {", "./dispatch", "TestSession",
	},
	"unanswered commit reported as not run": {
		"dispatch/commit.go", "verdict.New(verdict.MayHaveRun, verdict.Broken, \"endpoint did not answer the commit\")", "verdict.New(verdict.NotRun, verdict.Broken, \"endpoint did not answer the commit\")", "./dispatch", "TestSession",
	},
	"unknown outcome reported as a refusal": {
		"platform/protocol/code.go", "	default:\n		return codeUnsure", "	default:\n		return codeBusy", "./platform/protocol", ".",
	},
	"connections not reset after uncertain settings": {
		"connection/sessionstate.go", "if s.uncertain || len(s.prepared)", "if len(s.prepared)", "./dispatch", "TestChangedSettings",
	},
	"session settings not applied to a connection": {
		"connection/sessionstate.go", "!ok || known != value {", "false && (!ok || known != value) {", "./dispatch", "TestSession",
	},
	"connection returned with its transaction open": {
		"dispatch/transaction.go", "clean := err == nil && answers[0].Failure == nil && answers[0].State == statement.Idle", "clean := true\n		_, _ = answers, err", "./dispatch", ".",
	},
	"connection not released after a panic": {
		"dispatch/single.go", "		pool.Release(conn, reuse, d.now().Sub(sent))\n	}()", "		if recovered := recover(); recovered != nil {\n			panic(recovered)\n		}\n		pool.Release(conn, reuse, d.now().Sub(sent))\n	}()", "./dispatch", "TestPanic",
	},
	"succession with one replica too few held": {
		"succession/succession.go", "if missing >= max(s.plan.Acknowledge, 1) {", "if missing > max(s.plan.Acknowledge, 1) {", "./succession", "Model",
	},
	"holds not confirmed": {
		"succession/succession.go", "case r.Status.Held != s.plan.Term || r.Status.Log != s.held[at].log:", "case false:", "./succession", "TestSuccession",
	},
	"old primary that answers not demoted": {
		"succession/succession.go", "	if p.OldPrimaryAnswers {\n", "	if false {\n", "./succession", "Model",
	},
	"holds released although a promotion may take effect": {
		"succession/succession.go", "	if s.mayTakeEffect() {\n		return s.stopKeepingHolds(\"endpoint does not lead in time\")\n	}\n", "", "./succession", "Model",
	},
	"promotion repeated without a check of the holds": {
		"succession/succession.go", "	return s.confirm(Reconfirming)\n}", "	return s.promote()\n}", "./succession", "Model",
	},
	"promotion after a demotion without a check of the holds": {
		"succession/succession.go", "	return s.confirm(Confirming)", "	return s.choose()", "./succession", "TestSuccession",
	},
	"log of the old primary's term not required": {
		"succession/plan.go", "return uint64(log.Term) >= uint64(f.Term) || f.Known && log.Covers(f.Start)", "return true", "./succession", "Floor",
	},
	"departed endpoints dropped before their commits are replicated": {
		"succession/departure.go", "		if a.settled && result.Departed {", "		if result.Departed {", "./succession", "Departure",
	},
	"departed endpoints not counted among those left out of a succession": {
		"succession/blocked.go", "len(missing) >= required || len(leftOut) > required", "len(missing) >= required", "./succession", "TestDepartures",
	},
	"log of a restarted primary taken for its own whatever it holds": {
		"succession/departure.go", "r.Status != nil && uint64(r.Status.Log.Term) == uint64(p.term)", "r.Status != nil", "./succession", "TestDepartureSettles",
	},
	"listed primary taken for the last one beside a newer term": {
		"succession/departure.go", "p.endpoint != \"\" && p.term == d.floor.Term", "p.endpoint != \"\"", "./succession", "TestDepartureSettles",
	},
	"commits of former incarnations taken to be in no other replica than the one that led": {
		"succession/departure.go", "complete.Status.Role == endpoint.Replica && replicated(complete.Status.Log, results, complete.Endpoint)", "complete.Status.Role == endpoint.Replica", "./succession", "TestDepartureSettles",
	},
	"restarted primary taken for one that has lost its log": {
		"succession/departure.go", "result.Successor == primary.Endpoint, d.isSettledFormer(result, s.Results):", "result.Successor == primary.Endpoint, false && d.isSettledFormer(result, s.Results):", "./succession", "TestDepartureSettles",
	},
	"each former incarnation of an endpoint counted by itself": {
		"succession/blocked.go", "cmp.Or(result.Successor, result.Endpoint)", "cmp.Or(result.Endpoint, result.Successor)", "./succession", "TestDetector",
	},
	"abandoned holds kept while they isolate the primary": {
		"succession/detector.go", "if primary != nil && !a.Replace {", "if primary != nil && reason == NoReason {", "./succession", "TestDetector",
	},
	"promotion without a known primary ended by any lead": {
		"succession/guard.go", "return name != g.plan.OldPrimary && (name == g.target || g.plan.OldPrimary != \"\" && g.isNewTerm(endpoint.FencedTerm(term)))", "return name != g.plan.OldPrimary", "./succession", "TestAssist",
	},
	"promotion ended by the lead of the old primary under another name": {
		"succession/guard.go", "g.plan.OldPrimary != \"\" && g.isNewTerm(endpoint.FencedTerm(term))", "g.plan.OldPrimary != \"\"", "./succession", "TestAssist",
	},
	"primary to be replaced known by its name only": {
		"group/promotion.go", " || p.Newest == 0 || uint64(term) <= uint64(p.Newest)", "", "./group", "TestIsBeingReplaced",
	},
	"endpoints that register later not watched": {
		"succession/watch.go", "	go w.follow(watching, ctx)\n", "	close(w.followed)\n", "./hosted", "TestReturnsWhilePromotionsAreRefused",
	},
	"statements named by a part of their text": {
		"statement/prepared.go", "sha256.Sum256([]byte(text))", "sha256.Sum256([]byte(text[:min(len(text), 1<<20)]))", "./statement", "TestPreparedNames",
	},
	"names of borrowers used at the endpoint": {
		"loan/loan.go", "			s.Name = p.Name()\n", "", "./loan", "TestNamesOfOlderBorrowers",
	},
	"names of older entries used at the endpoint": {
		"pool/batch.go", "if name == \"\" || message.IsSharedName(name) {", "if name == \"\" || name != \"\" {", "./pool", "TestNamesOfOlderEntries",
	},
	"value of pieces verified by its checksum": {
		"transfer/assembly.go", "if a.manifest.Sum != (Sum{}) {", "if false {", "./hosted", "TestConfigurationWithEqualChecksum",
	},
	"endpoints of a peer compared by their checksum": {
		"directory/offer.go", "if o.Sum != (transfer.Sum{}) {", "if false {", "./directory", "TestEqualChecksums",
	},
	"former primary not demoted while a promotion is outstanding": {
		"succession/guard.go", "	case f == leads:\n		return Demote, true\n", "", "./succession", "TestGuard",
	},
	"hold that has ended not taken again while a promotion is outstanding": {
		"succession/guard.go", "	case f == holdEnded:\n		return Hold, true\n", "", "./succession", "TestGuard|TestHoldEndedByAnother",
	},
	"abandoned holds released once an invalidation is accepted": {
		"succession/invalidation.go", "leads && at.Sub(i.acceptedAt) >= settlingTime", "leads", "./succession", "TestInvalidation|TestReleaseAbandoned",
	},
	"hold released that was taken after the invalidation": {
		"succession/invalidation.go", "h.endpoint == r.Endpoint && h.term == r.Status.Held", "h.endpoint == r.Endpoint", "./succession", "TestReleaseAbandoned",
	},
	"lead of an old term taken for the end of a hand-back": {
		"succession/succession.go", "case r.Endpoint == s.target && s.leadsAnew(r):", "case r.Endpoint == s.target:", "./succession", "TestUncountedEndpoint",
	},
	"end of a demoted primary's log not reached": {
		"succession/succession.go", "s.ended && !(s.plan.Unreplicated || best.log.Covers(s.end)), ", "", "./succession", "TestUncountedEndpoint",
	},
	"positions that callers were told ignored": {
		"succession/succession.go", "s.plan.AcceptLoss || log.Covers(s.acknowledged)", "true", "./succession", "TestUncountedEndpoint",
	},
	"hold of another succession released": {
		"succession/resume.go", "result.Status.Held != term || ", "", "./succession", "TestReleaseOfLaterHold",
	},
	"hold released long after its term was told": {
		"succession/resume.go", " || p.clock.Now().Sub(askedAt) > limit", "", "./succession", "TestReleaseOfLaterHold",
	},
	"failed setup of a connection taken for a success": {
		"connection/sessionstate.go", "	if a.Failure != nil {\n		return s.withFailure(step, a.Failure)\n	}\n", "", "./dispatch", "TestFailedSetup",
	},
	"poll that the store has lost awaited for long": {
		"directory/follow.go", "followWait = 3 * time.Second", "followWait = 10 * time.Second", "./directory", "TestLostCall",
	},
	"former primary taken for a replica that has its own commits": {
		"succession/departure.go", "if r.Endpoint != other && !r.Departed &&", "_ = other\n		if !r.Departed &&", "./succession", "TestDepartureOrders|TestDepartures|TestPrimaryDemoted",
	},
	"departure of a primary not recorded": {
		"database/departure.go", "	d.departures = append(", "	if lead, _ := d.view.Lead(); lead.Endpoint == e.Name {\n		return\n	}\n	d.departures = append(", "./database", "TestPrimaryDeparts",
	},
	"fencing tokens reserved without a version check": {
		"succession/reservation.go", "[]store.Expectation{{Key: key, Version: row.Version}},", "[]store.Expectation{{Key: key, Version: row.Version}}[:0],", "./succession", "Reserve",
	},
	"older configuration accepted": {
		"directory/directory.go", "	if configuration.Version <= d.configuration.Version {\n		return configuration.Version\n	}\n", "", "./directory", ".",
	},
	"loan of connections to an endpoint that the instance does not hold": {
		"loan/loan.go", "	if !ok {\n		return verdict.New(verdict.NotRun, verdict.Leaving, \"instance does not hold", "	if false && !ok {\n		return verdict.New(verdict.NotRun, verdict.Leaving, \"instance does not hold", "./loan", "TestRefused",
	},
	"account that starts anew gives what the former one may have given": {
		"allotment/bucket.go", "now.Sub(b.since) < b.share.Window {", "false {", "./allotment", "TestBoundScenarios",
	},
	"window not reduced for a full endpoint": {
		"limit/window.go", "w.size, w.at = max(w.width(now)*windowCut, windowFloor), now", "w.at = now", "./limit", "TestWindow",
	},
	"every read fetches a proof of the lead": {
		"dispatch/round.go", "return !w.database.ClaimProofFetch()", "_ = w.database.ClaimProofFetch()\n	return false", "./simulation", "TestRestart",
	},
	"wait for a primary beyond the failover limit": {
		"dispatch/round.go", "if missing < failoverLimit {", "if true {", "./simulation", "TestNoPrimary",
	},
	"full queue retried": {
		"dispatch/workitem.go", "if w.round.queueFull && !w.round.retryable {", "if false {", "./simulation", "TestRefusedEarly",
	},
	"idle time in transactions counted as work": {
		"connection/pool.go", "took, h.idleInTxTotal = max(took-h.idleInTxTotal, 0), 0", "h.idleInTxTotal = 0", "./connection", "TestIdleInTransactionIsNotWork",
	},
	"driver's background reader not stopped": {
		"pool/connection.go", "if err := plain.SyncConn(ctx); err != nil {", "if err := error(nil); err != nil {", "./pool", "TestStalledStart",
	},
	"slots ignored in the division of connections": {
		"database/registry.go", "own >= minOwnConnections && !crowded ||", "own >= minOwnConnections && (!crowded || true) ||", "./database", "TestDivide",
	},
	"borrowed connection returned in a transaction": {
		"loan/loan.go", "case answers[len(answers)-1].State == statement.Idle:", "case true:", "./loan", "TestTransaction",
	},
	"no connections reserved for coordinators": {
		"database/registry.go", "max(min(int(connectionShare*float64(connections)), connections-minConnectionReserve), 1)", "max(connections*2, 1)", "./database", "TestDivide",
	},
	"leaving endpoint not checked again after waiting": {
		"dispatch/single.go", "if err == nil && !w.database.AcceptsWork(c.Endpoint.Name) {", "if false {", "./dispatch", "TestLeavingWhileWaiting",
	},
	"changed settings not applied": {
		"settings/change.go", "		current.Set(wanted)\n", "", "./settings", "TestReload",
	},
	"own update taken for a conflict": {
		"store/update.go", "	case bytes.Equal(stored.Value, value):\n		return value, nil\n", "	case bytes.Equal(stored.Value, value) && false:\n", "./store", "TestUpdate",
	},
	"endpoints not told the workspace": {
		"platform/protocol/dial.go", "user := cmp.Or(target.Workspace, instanceUser)", "user := cmp.Or(\"\", instanceUser)", "./proof", "TestKeys",
	},
	"unknown keys admitted": {
		"dispatch/workspace.go", "	case known || route.Anonymous:\n", "	case known || !route.Anonymous:\n", "./proof", "TestKeys",
	},
	"withdrawal not applied": {
		"directory/directory.go", "if configuration.Version <= d.configuration.Version {", "if d.configuration.Version > 0 {", "./proof", "TestKeys",
	},
	"session goes on after its key was withdrawn": {
		"dispatch/session.go", "a.Failure.Reason == verdict.Unauthorized && !s.withdrawn {", "a.Failure.Reason == verdict.Unauthorized && false {", "./dispatch", "TestKeyChanges",
	},
	"transaction goes on after its key was moved": {
		"dispatch/workspace.go", "s.tx.conn != nil && w.Name != s.workspace.Name:", "s.tx.conn != nil && false:", "./dispatch", "TestKeyChanges",
	},
	"key not checked again after a wait": {
		"dispatch/workspace.go", "	if refused := s.authorize(); refused != nil {\n		return refused\n	}\n", "	_ = s.authorize()\n", "./dispatch", "TestKeyWithdrawnInRetry",
	},
	"idle sessions outlive their keys": {
		"caller/server.go", "if c.waiting.Load() && c.session.CheckKey() != nil {", "if false {", "./caller", "TestEndWithdrawn",
	},
	"keys relayed to peers": {
		"directory/directory.go", "		row.Value = configuration.Relayed\n", "		_ = row\n", "./directory", "TestOfferIsSealed",
	},
	"operations of callers not counted": {
		"entry/workspace.go", "if refused := c.server.options.Allotments.Take(c.server.ctx, w, ex.deadline); refused != nil {", "if refused := (*verdict.Error)(nil); refused != nil {", "./entry", "TestAllotment",
	},
}

// TestMutationsApply guards against a change of the source that leaves an entry of the table without effect: its old text
// must occur once in its file, and its pattern must match a test.
func TestMutationsApply(t *testing.T) {
	for name, m := range mutations {
		t.Run(name, func(t *testing.T) {
			source, err := os.ReadFile(filepath.Join("..", m.file))
			if err != nil {
				t.Fatal(err)
			}
			if n := strings.Count(string(source), m.old); n != 1 {
				t.Errorf("%s contains the text %d times, want 1: %q", m.file, n, m.old)
			}
			if names := testNames(t, m.pkg); !regexp.MustCompile(m.pattern).MatchString(names) {
				t.Errorf("%s has no test that matches %s: %s", m.pkg, m.pattern, names)
			}
		})
	}
}

// testNames returns the names of the tests in a directory, one per line.
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

// TestMutations applies each mutation to a copy of the source and checks that its test fails. It runs only if
// SISKINCOVE_MUTATIONS is set, since each mutation rebuilds a package.
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
				t.Fatalf("%s does not contain the rule exactly once", m.file)
			}
			writeFile(t, file, strings.Replace(string(source), m.old, m.new, 1))
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
			defer cancel()
			command := exec.CommandContext(ctx, "go", "test", m.pkg, "-run", m.pattern)
			command.Dir = root
			out, err := command.CombinedOutput()
			switch {
			case err == nil:
				t.Errorf("go test %s -run %s passes without the rule", m.pkg, m.pattern)
			case !strings.Contains(string(out), "--- FAIL"):
				t.Errorf("go test failed without a failed test: %s", tail(string(out), 12))
			default:
				t.Logf("go test %s -run %s fails: %s", m.pkg, m.pattern, firstFailure(string(out)))
			}
		})
	}
}

// firstFailure returns the line of the first failed test and the two lines after it.
func firstFailure(out string) string {
	lines := strings.Split(out, "\n")
	for n, line := range lines {
		if strings.Contains(line, "--- FAIL") {
			return strings.TrimSpace(strings.Join(lines[n:min(n+3, len(lines))], " "))
		}
	}
	return ""
}
