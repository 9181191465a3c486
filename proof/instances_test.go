package proof

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"siskincove/load"
	"siskincove/standin/cluster"
)

// runUnderLoad calls action while a load runs, and checks the load's report for violated guarantees.
func runUnderLoad(t *testing.T, c *cluster.Cluster, mix load.Mix, seed uint64, action func()) load.Report {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	result := make(chan load.Report, 1)
	go func() {
		report, err := load.Run(ctx, loadOptions(c, mix, 7*time.Second, seed))
		if err != nil {
			t.Error(err)
		}
		result <- report
	}()
	time.Sleep(1500 * time.Millisecond)
	action()
	report := <-result
	t.Logf("longest gap between acknowledged probe writes %.0f ms, refusals %v", report.LongestGap, report.Refusals)
	if !report.Passed() {
		t.Errorf("violated guarantees: %+v, not verified: %d", report.Violations, report.Unverified)
	}
	done := int64(0)
	for _, o := range report.Operations {
		done += o.Count
	}
	if done < 300 {
		t.Errorf("only %d operations were done, too few for a meaningful check", done)
	}
	return report
}

// owner returns the index of the endpoint's owner, the instance that holds its connection pool.
func owner(t *testing.T, c *cluster.Cluster, endpoint string) int {
	t.Helper()
	for n, i := range c.Instances {
		s, err := i.Status()
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range s.Pools {
			if p.Endpoint == endpoint {
				return n
			}
		}
	}
	t.Fatalf("no instance owns %s", endpoint)
	return 0
}

// TestInstanceFaults kills and suspends the owner of the primary and of a replica under load.
func TestInstanceFaults(t *testing.T) {
	kill := func(t *testing.T, c *cluster.Cluster, n int) {
		c.Instances[n].Process.Kill()
		time.Sleep(time.Second)
		if err := c.StartInstance(n); err != nil {
			t.Error(err)
		}
	}
	suspend := func(t *testing.T, c *cluster.Cluster, n int) {
		c.Instances[n].Process.Suspend()
		time.Sleep(2500 * time.Millisecond)
		c.Instances[n].Process.Resume()
	}
	tests := map[string]struct {
		mix         load.Mix
		injectFault func(*testing.T, *cluster.Cluster, int)
		target      string
	}{
		// Of the two mixes, only Pwani has transactions.
		"owner of the primary killed":    {mix: load.Pwani, injectFault: kill, target: database + "-0"},
		"owner of the primary suspended": {mix: load.Pwani, injectFault: suspend, target: database + "-0"},
		"owner of a replica killed":      {mix: load.Kelloviisari, injectFault: kill, target: database + "-1"},
		"owner of a replica suspended":   {mix: load.Kelloviisari, injectFault: suspend, target: database + "-2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, func(o *cluster.Options) {
				o.Domains = []string{"fi-south/a", "se-east/a", "de-north/a", "fi-south/a", "se-east/a", "de-north/a"}
			}, cluster.Objects{Deadline: 3 * time.Second})
			n := owner(t, c, test.target)
			runUnderLoad(t, c, test.mix, 11, func() { test.injectFault(t, c, n) })
		})
	}
}

// TestLag makes replicas apply the log 2 min late. Callers must still read their own writes at another instance, which
// reads them from the primary. Reads on the history route must go to the primary, since the replicas are staler than the
// route's allowance, the staleness that it permits.
func TestLag(t *testing.T) {
	c := startCluster(t, nil, cluster.Objects{Age: time.Second})
	report := runUnderLoad(t, c, load.Kelloviisari, 3, func() {
		for m := range c.Groups[0].Endpoints {
			if err := c.Groups[0].Fault(m, "applylag", "2m"); err != nil {
				t.Error(err)
			}
		}
	})
	if report.ViolationCount > 0 {
		t.Errorf("%+v", report.Violations)
	}
	ctx := boundedContext(t)
	writer := connect(t, c, 0, "")
	if _, err := writer.Exec(ctx, "INSERT INTO signoffs (key, value) VALUES ('lag', 'x')"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1500 * time.Millisecond)
	var count int
	if err := connect(t, c, 2, database+"-history").QueryRow(ctx, "SELECT count(*) FROM signoffs WHERE key = 'lag'").Scan(&count); err != nil || count != 1 {
		t.Errorf("a write older than the allowance was read %d times, want once: %v", count, err)
	}
}

// TestDrain terminates an instance under load while a long transaction is open: it completes the requests in flight.
func TestDrain(t *testing.T) {
	c := startCluster(t, nil, cluster.Objects{})
	ctx := boundedContext(t)
	conn := connect(t, c, 0, "")
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO signoffs (key, value) VALUES ('long', 'x')"); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	report := runUnderLoad(t, c, load.Pwani, 5, func() {
		go func() { ended <- c.Instances[0].Process.Terminate() }()
		time.Sleep(2 * time.Second)
		if _, err := tx.Exec(ctx, "INSERT INTO signoffs (key, value) VALUES ('long', 'y')"); err != nil {
			t.Errorf("statement of a transaction in flight: %v", err)
		}
		if err := tx.Commit(ctx); err != nil {
			t.Errorf("commit of a transaction in flight: %v", err)
		}
	})
	if err := <-ended; err != nil {
		t.Errorf("instance did not exit cleanly: %v", err)
	}
	for _, r := range report.Refusals {
		if r.Verdict != "not run" {
			t.Errorf("request in flight was interrupted: %+v", r)
		}
	}
	rows, err := connect(t, c, 1, "").Query(ctx, "SELECT value FROM signoffs WHERE key = 'long'")
	if err != nil {
		t.Fatal(err)
	}
	if got, err := pgx.CollectRows(rows, pgx.RowTo[string]); err != nil || strings.Join(got, "") != "xy" {
		t.Errorf("rows of the long transaction are %v: %v", got, err)
	}
}

// TestSecondSignal checks that a second signal ends a draining instance at once, with a non-zero exit code.
func TestSecondSignal(t *testing.T) {
	c := startCluster(t, nil, cluster.Objects{})
	ctx := boundedContext(t)
	conn := connect(t, c, 0, "")
	if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	p := c.Instances[0].Process
	// 15 is SIGTERM.
	p.Signal(15)
	if eventually(func() bool { return contains(c.Instances[0].Log(), "instance leaving") || p.Exited() }) && p.Exited() {
		t.Fatal("instance exited while a transaction was open")
	}
	time.Sleep(500 * time.Millisecond)
	if p.Exited() {
		t.Fatal("instance exited while a transaction was open")
	}
	p.Signal(15)
	if err := p.Wait(10 * time.Second); err == nil {
		t.Error("forced exit has exit code 0")
	}
	// Event 103 is the forced stop.
	if !contains(c.Instances[0].Log(), "event=103") {
		t.Error("forced exit was not logged")
	}
}

// TestLeavingEndpoint marks a replica as leaving: once all instances serve the revision with that change, the replica gets
// no statements.
func TestLeavingEndpoint(t *testing.T) {
	c := startCluster(t, nil, cluster.Objects{})
	served := func() int64 {
		states, err := c.Groups[0].States()
		if err != nil {
			t.Fatal(err)
		}
		return states[1].Served
	}
	runUnderLoad(t, c, load.Kelloviisari, 9, func() {
		before := served()
		if before == 0 {
			t.Error("endpoint served no statements before it was marked as leaving")
		}
		publish(t, c, cluster.Objects{Leaving: map[string]bool{database + "-1": true}})
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		// Revision 2 is the second one published.
		if err := c.WaitReady(ctx, 2); err != nil {
			t.Error(err)
		}
		time.Sleep(200 * time.Millisecond)
		atChange := served()
		time.Sleep(1500 * time.Millisecond)
		if now := served(); now != atChange {
			t.Errorf("endpoint served %d statements after the change was in force", now-atChange)
		}
	})
}

// TestLeavingPrimary marks the primary as leaving under load: another endpoint becomes primary, and no acknowledged write
// is lost.
func TestLeavingPrimary(t *testing.T) {
	c := startCluster(t, nil, cluster.Objects{Deadline: 3 * time.Second})
	waitTermsReserved(t, c)
	runUnderLoad(t, c, load.Pwani, 29, func() {
		publish(t, c, cluster.Objects{Deadline: 3 * time.Second, Leaving: map[string]bool{database + "-0": true}})
		if !eventually(func() bool { return primaryChanged(c, 0) }) {
			t.Error("no other endpoint became primary")
		}
	})
	if !eventually(func() bool { return converged(c) }) {
		t.Error("the group did not converge")
	}
}

// TestCancel sends the cancel request for a statement to another instance than the one that serves it.
func TestCancel(t *testing.T) {
	c := startCluster(t, nil, cluster.Objects{})
	conn := connect(t, c, 0, "")
	result := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "SELECT pg_sleep(8)")
		result <- err
	}()
	time.Sleep(500 * time.Millisecond)
	cancelAt(t, conn, c.Instances[2].Callers)
	// 57014 is PostgreSQL's code query_canceled.
	var failure *pgconn.PgError
	if err := <-result; !errors.As(err, &failure) || failure.Code != "57014" {
		t.Errorf("cancelled statement returned %v", err)
	}
	if _, err := conn.Exec(boundedContext(t), "SELECT 1"); err != nil {
		t.Errorf("statement after the cancelled one: %v", err)
	}
}
