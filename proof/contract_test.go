package proof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"siskincove/load"
	"siskincove/soak"
	"siskincove/standin/cluster"
	"siskincove/standin/hosting"
	"siskincove/verdict"
)

// Outcomes of a statement as its caller sees them, in either protocol.
const (
	ran        = ""
	notRun     = "not run"
	mayHaveRun = "may have run"
)

// deployment is a running cluster that callers reach by one protocol.
type deployment interface {
	// open starts a session at instance n, counted from 0, on a route that reads its own writes if own is set, else on one
	// that reads at the primary.
	open(n int, own bool) (client, error)
	// crashPrimary crashes the primary, which is not restarted.
	crashPrimary()
	// openUndeclared tries to open a session on a database that is not in the configuration.
	openUndeclared() error
}

// client is a caller's session. Its methods return the outcome of a statement.
type client interface {
	write(key, value string) string
	// read returns the values of a key.
	read(key string) ([]string, string)
	begin() string
	commit() string
	rollback() string
	close()
}

// postgresDeployment is a cluster whose callers use the PostgreSQL protocol.
type postgresDeployment struct {
	t       *testing.T
	cluster *cluster.Cluster
}

func (d postgresDeployment) open(n int, _ bool) (client, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, load.URL(d.cluster.Instances[n].Callers, caller, password, service))
	if err != nil {
		return nil, err
	}
	return &postgresClient{conn: conn}, nil
}

func (d postgresDeployment) crashPrimary() {
	n, err := d.cluster.Groups[0].Primary()
	if err == nil {
		err = d.cluster.Groups[0].Fault(n, "killed", "true")
	}
	if err != nil {
		d.t.Error(err)
	}
}

func (d postgresDeployment) openUndeclared() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, load.URL(d.cluster.Instances[0].Callers, caller, password, "nothing"))
	if err == nil {
		_ = conn.Close(ctx)
	}
	return err
}

type postgresClient struct{ conn *pgx.Conn }

func (s *postgresClient) exec(text string, args ...any) string {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	_, err := s.conn.Exec(ctx, text, args...)
	return outcomeOf(err)
}

// outcomeOf returns the outcome of a statement that returned err.
func outcomeOf(err error) string {
	var failed *pgconn.PgError
	switch {
	case err == nil:
		return ran
	case errors.As(err, &failed) && failed.Code != verdict.CodeMayHaveRun:
		return notRun
	default:
		return mayHaveRun
	}
}

func (s *postgresClient) write(key, value string) string {
	return s.exec("INSERT INTO signoffs (key, value) VALUES ($1, $2)", key, value)
}

func (s *postgresClient) read(key string) ([]string, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	rows, err := s.conn.Query(ctx, "SELECT value FROM signoffs WHERE key = $1", key)
	if err != nil {
		return nil, outcomeOf(err)
	}
	values, err := pgx.CollectRows(rows, pgx.RowTo[string])
	return values, outcomeOf(err)
}

func (s *postgresClient) begin() string    { return s.exec("BEGIN") }
func (s *postgresClient) commit() string   { return s.exec("COMMIT") }
func (s *postgresClient) rollback() string { return s.exec("ROLLBACK") }
func (s *postgresClient) close()           { _ = s.conn.Close(context.Background()) }

// platformDeployment is a cluster whose callers use the platform's protocol.
type platformDeployment struct{ cluster *soak.Deployment }

func (d platformDeployment) open(n int, own bool) (client, error) {
	route := "main"
	if own {
		route = "own"
	}
	c, err := hosting.Dial(d.cluster.Instances[n].Callers, route)
	if err != nil {
		return nil, err
	}
	return &platformClient{caller: c}, nil
}

func (d platformDeployment) crashPrimary() { d.cluster.Group.Primary().Crash() }

func (d platformDeployment) openUndeclared() error {
	c, err := hosting.Dial(d.cluster.Instances[0].Callers, "nothing")
	if err == nil {
		c.Close()
	}
	return err
}

type platformClient struct {
	caller *hosting.Caller
	count  int
}

func (s *platformClient) query(text string) (hosting.Result, string) {
	s.count++
	r, err := s.caller.Query(fmt.Sprintf("%p-%d", s, s.count), text)
	switch {
	case err != nil || r.Code == "UNSURE" || r.Code == "TIMEOUT":
		return r, mayHaveRun
	case r.Code != "":
		return r, notRun
	default:
		return r, ran
	}
}

func (s *platformClient) write(key, value string) string {
	_, got := s.query("WRITE " + key + " " + value)
	return got
}

func (s *platformClient) read(key string) ([]string, string) {
	r, got := s.query("READ " + key)
	if len(r.Rows) == 1 && r.Rows[0] == "" {
		return nil, got
	}
	return r.Rows, got
}

func (s *platformClient) begin() string    { _, got := s.query("BEGIN"); return got }
func (s *platformClient) commit() string   { _, got := s.query("COMMIT"); return got }
func (s *platformClient) rollback() string { _, got := s.query("ROLLBACK"); return got }
func (s *platformClient) close()           { s.caller.Close() }

// deployments start a cluster for each protocol.
var deployments = map[string]func(t *testing.T) deployment{
	"postgres": func(t *testing.T) deployment {
		return postgresDeployment{t: t, cluster: startCluster(t, nil, cluster.Objects{Deadline: 3 * time.Second})}
	},
	"platform": func(t *testing.T) deployment { return platformDeployment{cluster: startPlatformCluster(t)} },
}

// guarantees are the checks of what callers of either protocol may rely on.
var guarantees = map[string]func(t *testing.T, d deployment){
	"session reads its own write":                     readOwnWrite,
	"primary read sees another session's write":       readAnotherSessionsWrite,
	"transaction is atomic":                           atomicTransaction,
	"transaction lost with its primary has no effect": transactionOnLostPrimary,
	"more sessions than connections are served":       manySessions,
	"writes resume after loss of the primary":         writesAcrossFailover,
	"undeclared database is refused":                  undeclaredDatabase,
	"concurrent transactions do not mix":              concurrentTransactions,
}

// TestContract checks that both protocols give the same guarantees.
func TestContract(t *testing.T) {
	for protocol, start := range deployments {
		for guarantee, check := range guarantees {
			t.Run(protocol+"/"+guarantee, func(t *testing.T) {
				t.Parallel()
				check(t, start(t))
			})
		}
	}
}

func mustOpen(t *testing.T, d deployment, n int, own bool) client {
	t.Helper()
	s, err := d.open(n, own)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	return s
}

func checkOutcome(t *testing.T, what, want, got string) {
	t.Helper()
	if want != got {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}

func checkValues(t *testing.T, s client, key string, want ...string) {
	t.Helper()
	got, outcome := s.read(key)
	checkOutcome(t, "read", ran, outcome)
	if strings.Join(got, ",") != strings.Join(want, ",") {
		t.Errorf("%s has the values %q, want %q", key, got, want)
	}
}

func readOwnWrite(t *testing.T, d deployment) {
	s := mustOpen(t, d, 0, true)
	for n := range 30 {
		key := fmt.Sprintf("own%d", n)
		checkOutcome(t, "write", ran, s.write(key, "v"))
		checkValues(t, s, key, "v")
	}
}

func readAnotherSessionsWrite(t *testing.T, d deployment) {
	writer, reader := mustOpen(t, d, 0, false), mustOpen(t, d, 1, false)
	for n := range 30 {
		key := fmt.Sprintf("other%d", n)
		checkOutcome(t, "write", ran, writer.write(key, "v"))
		checkValues(t, reader, key, "v")
	}
}

func atomicTransaction(t *testing.T, d deployment) {
	s, other := mustOpen(t, d, 0, false), mustOpen(t, d, 1, false)
	checkOutcome(t, "begin", ran, s.begin())
	checkOutcome(t, "write", ran, s.write("a", "1"))
	checkOutcome(t, "write", ran, s.write("b", "2"))
	checkValues(t, s, "a", "1")
	checkValues(t, other, "a")
	checkOutcome(t, "commit", ran, s.commit())
	checkValues(t, other, "a", "1")
	checkValues(t, other, "b", "2")
	checkOutcome(t, "begin", ran, s.begin())
	checkOutcome(t, "write", ran, s.write("c", "3"))
	checkOutcome(t, "rollback", ran, s.rollback())
	checkValues(t, other, "c")
}

func transactionOnLostPrimary(t *testing.T, d deployment) {
	s := mustOpen(t, d, 0, false)
	checkOutcome(t, "begin", ran, s.begin())
	checkOutcome(t, "write", ran, s.write("lost", "1"))
	d.crashPrimary()
	// The stand-ins close their connections shortly after the crash was requested.
	time.Sleep(300 * time.Millisecond)
	if got := s.write("lost", "2"); got == ran {
		t.Error("statement of a transaction succeeded after the crash of its endpoint")
	}
	_ = s.rollback()
	after := retryUntilRan(t, d, func(s client) string { return s.write("after", "1") })
	checkValues(t, after, "lost")
}

// retryUntilRan runs a statement in new sessions until it succeeds, and returns that session. It fails the test after
// recoveryLimit.
func retryUntilRan(t *testing.T, d deployment, run func(s client) string) client {
	t.Helper()
	for end := time.Now().Add(recoveryLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		s, err := d.open(1, false)
		if err != nil {
			continue
		}
		if run(s) == ran {
			t.Cleanup(s.close)
			return s
		}
		s.close()
	}
	t.Fatalf("writes did not resume within %s", recoveryLimit)
	return nil
}

func manySessions(t *testing.T, d deployment) {
	const sessions = 150
	var wait sync.WaitGroup
	for n := range sessions {
		s := mustOpen(t, d, n%3, false)
		wait.Go(func() {
			key := fmt.Sprintf("many%d", n)
			checkOutcome(t, "write", ran, s.write(key, "v"))
			checkValues(t, s, key, "v")
		})
	}
	wait.Wait()
}

func writesAcrossFailover(t *testing.T, d deployment) {
	// Instances replace a primary only after they have known the endpoints for some seconds.
	time.Sleep(settleTime)
	var mu sync.Mutex
	outcomes := make(map[string]string)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for n := range 3 {
		wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				s, err := d.open(n, false)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				key := fmt.Sprintf("kept%d-%d", n, i)
				got := s.write(key, "v")
				s.close()
				mu.Lock()
				outcomes[key] = got
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	d.crashPrimary()
	reader := retryUntilRan(t, d, func(s client) string { return s.write("after", "1") })
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wait.Wait()
	for key, got := range outcomes {
		values, outcome := reader.read(key)
		switch {
		case outcome != ran:
			t.Fatalf("reading %s: %s", key, outcome)
		case got == ran && len(values) != 1:
			t.Errorf("%s was acknowledged and is stored %d times", key, len(values))
		case got == notRun && len(values) != 0 || len(values) > 1:
			t.Errorf("outcome of %s was %q, and it is stored %d times", key, got, len(values))
		}
	}
}

func undeclaredDatabase(t *testing.T, d deployment) {
	if err := d.openUndeclared(); err == nil {
		t.Error("undeclared database was opened")
	}
}

func concurrentTransactions(t *testing.T, d deployment) {
	var wait sync.WaitGroup
	for n := range 12 {
		s := mustOpen(t, d, n%3, false)
		wait.Go(func() {
			prefix := fmt.Sprintf("apart%d", n)
			for i := range 5 {
				key := fmt.Sprintf("%s-%d", prefix, i)
				checkOutcome(t, "begin", ran, s.begin())
				checkOutcome(t, "write", ran, s.write(key, prefix))
				checkValues(t, s, key, prefix)
				end := s.commit
				if i%2 == 1 {
					end = s.rollback
				}
				checkOutcome(t, "end", ran, end())
				if i%2 == 1 {
					checkValues(t, s, key)
				} else {
					checkValues(t, s, key, prefix)
				}
			}
		})
	}
	wait.Wait()
}
