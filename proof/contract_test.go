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
	"siskincove/standin/cluster"
	"siskincove/standin/hosting"
	"siskincove/verdict"
)

// What a caller learns of a statement, whatever it speaks.
const (
	ran    = ""
	notRun = "not run"
	unsure = "may have run"
)

// face is a deployment as callers of one protocol see it.
type face interface {
	// open starts a session at an instance that sees its own writes, or at the primary.
	open(n int, own bool) (speaker, error)
	// lose crashes the primary for good.
	lose()
	// unknown tries a database that nobody declared.
	unknown() error
}

// speaker is a caller's session.
type speaker interface {
	write(key, value string) string
	// read returns the values under a key.
	read(key string) ([]string, string)
	begin() string
	commit() string
	rollback() string
	close()
}

// postgresFace speaks the PostgreSQL protocol.
type postgresFace struct {
	t       *testing.T
	cluster *cluster.Cluster
}

func (f postgresFace) open(n int, _ bool) (speaker, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, load.URL(f.cluster.Instances[n].Callers, caller, password, service))
	if err != nil {
		return nil, err
	}
	return &postgresSpeaker{conn: conn}, nil
}

func (f postgresFace) lose() {
	n, err := f.cluster.Groups[0].Primary()
	if err == nil {
		err = f.cluster.Groups[0].Fault(n, "killed", "true")
	}
	if err != nil {
		f.t.Error(err)
	}
}

func (f postgresFace) unknown() error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, load.URL(f.cluster.Instances[0].Callers, caller, password, "nothing"))
	if err == nil {
		_ = conn.Close(ctx)
	}
	return err
}

type postgresSpeaker struct{ conn *pgx.Conn }

func (s *postgresSpeaker) exec(text string, args ...any) string {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	_, err := s.conn.Exec(ctx, text, args...)
	return learned(err)
}

// learned returns what an error tells of its statement.
func learned(err error) string {
	var failed *pgconn.PgError
	switch {
	case err == nil:
		return ran
	case errors.As(err, &failed) && failed.Code != verdict.CodeMayHaveRun:
		return notRun
	default:
		return unsure
	}
}

func (s *postgresSpeaker) write(key, value string) string {
	return s.exec("INSERT INTO signoffs (key, value) VALUES ($1, $2)", key, value)
}

func (s *postgresSpeaker) read(key string) ([]string, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	rows, err := s.conn.Query(ctx, "SELECT value FROM signoffs WHERE key = $1", key)
	if err != nil {
		return nil, learned(err)
	}
	values, err := pgx.CollectRows(rows, pgx.RowTo[string])
	return values, learned(err)
}

func (s *postgresSpeaker) begin() string    { return s.exec("BEGIN") }
func (s *postgresSpeaker) commit() string   { return s.exec("COMMIT") }
func (s *postgresSpeaker) rollback() string { return s.exec("ROLLBACK") }
func (s *postgresSpeaker) close()           { _ = s.conn.Close(context.Background()) }

// platformFace speaks the platform's protocol.
type platformFace struct{ platform *platform }

func (f platformFace) open(n int, own bool) (speaker, error) {
	route := "main"
	if own {
		route = "own"
	}
	c, err := hosting.Dial(f.platform.instances[n].Callers, route)
	if err != nil {
		return nil, err
	}
	return &platformSpeaker{caller: c}, nil
}

func (f platformFace) lose() { f.platform.group.Primary().Crash() }

func (f platformFace) unknown() error {
	c, err := hosting.Dial(f.platform.instances[0].Callers, "nothing")
	if err == nil {
		c.Close()
	}
	return err
}

type platformSpeaker struct {
	caller *hosting.Caller
	count  int
}

func (s *platformSpeaker) query(text string) (hosting.Result, string) {
	s.count++
	r, err := s.caller.Query(fmt.Sprintf("%p-%d", s, s.count), text)
	switch {
	case err != nil || r.Code == "UNSURE" || r.Code == "TIMEOUT":
		return r, unsure
	case r.Code != "":
		return r, notRun
	default:
		return r, ran
	}
}

func (s *platformSpeaker) write(key, value string) string {
	_, got := s.query("WRITE " + key + " " + value)
	return got
}

func (s *platformSpeaker) read(key string) ([]string, string) {
	r, got := s.query("READ " + key)
	if len(r.Rows) == 1 && r.Rows[0] == "" {
		return nil, got
	}
	return r.Rows, got
}

func (s *platformSpeaker) begin() string    { _, got := s.query("BEGIN"); return got }
func (s *platformSpeaker) commit() string   { _, got := s.query("COMMIT"); return got }
func (s *platformSpeaker) rollback() string { _, got := s.query("ROLLBACK"); return got }
func (s *platformSpeaker) close()           { s.caller.Close() }

// faces are the protocols that every promise below is held to.
var faces = map[string]func(t *testing.T) face{
	"postgres": func(t *testing.T) face {
		return postgresFace{t: t, cluster: begin(t, nil, cluster.Objects{Deadline: 3 * time.Second})}
	},
	"platform": func(t *testing.T) face { return platformFace{platform: openPlatform(t)} },
}

// promises are what callers of every protocol may rely on.
var promises = map[string]func(t *testing.T, f face){
	"a session sees its own write":                 ownWrite,
	"another session sees it at the primary":       otherSession,
	"a transaction is kept whole or not at all":    wholeTransaction,
	"a failed transaction keeps nothing":           lostTransaction,
	"more sessions than connections are served":    manySessions,
	"writes go on after the primary is lost":       lostPrimary,
	"a database that nobody declared is refused":   undeclared,
	"statements of one transaction meet no others": apart,
}

// TestContract holds both protocols to the same promises.
func TestContract(t *testing.T) {
	for protocol, start := range faces {
		for promise, check := range promises {
			t.Run(protocol+"/"+promise, func(t *testing.T) {
				t.Parallel()
				check(t, start(t))
			})
		}
	}
}

func mustOpen(t *testing.T, f face, n int, own bool) speaker {
	t.Helper()
	s, err := f.open(n, own)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	return s
}

// expect holds what a caller learned.
func expect(t *testing.T, what, want, got string) {
	t.Helper()
	if want != got {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}

func holds(t *testing.T, s speaker, key string, want ...string) {
	t.Helper()
	got, learned := s.read(key)
	expect(t, "read", ran, learned)
	if strings.Join(got, ",") != strings.Join(want, ",") {
		t.Errorf("%s holds %q, want %q", key, got, want)
	}
}

func ownWrite(t *testing.T, f face) {
	s := mustOpen(t, f, 0, true)
	for n := range 30 {
		key := fmt.Sprintf("own%d", n)
		expect(t, "write", ran, s.write(key, "v"))
		holds(t, s, key, "v")
	}
}

func otherSession(t *testing.T, f face) {
	writer, reader := mustOpen(t, f, 0, false), mustOpen(t, f, 1, false)
	for n := range 30 {
		key := fmt.Sprintf("other%d", n)
		expect(t, "write", ran, writer.write(key, "v"))
		holds(t, reader, key, "v")
	}
}

func wholeTransaction(t *testing.T, f face) {
	s, other := mustOpen(t, f, 0, false), mustOpen(t, f, 1, false)
	expect(t, "begin", ran, s.begin())
	expect(t, "write", ran, s.write("a", "1"))
	expect(t, "write", ran, s.write("b", "2"))
	holds(t, s, "a", "1")
	holds(t, other, "a")
	expect(t, "commit", ran, s.commit())
	holds(t, other, "a", "1")
	holds(t, other, "b", "2")
	expect(t, "begin", ran, s.begin())
	expect(t, "write", ran, s.write("c", "3"))
	expect(t, "rollback", ran, s.rollback())
	holds(t, other, "c")
}

func lostTransaction(t *testing.T, f face) {
	s := mustOpen(t, f, 0, false)
	expect(t, "begin", ran, s.begin())
	expect(t, "write", ran, s.write("lost", "1"))
	f.lose()
	// A stand-in closes its connections a moment after it was told to end.
	time.Sleep(300 * time.Millisecond)
	if got := s.write("lost", "2"); got == ran {
		t.Error("a statement of a transaction whose endpoint is gone succeeds")
	}
	_ = s.rollback()
	after := again(t, f, func(s speaker) string { return s.write("after", "1") })
	holds(t, after, "lost")
}

// again runs a statement in new sessions until it succeeds, within the time that the target gives a change of primary.
func again(t *testing.T, f face, run func(s speaker) string) speaker {
	t.Helper()
	for end := time.Now().Add(recovery); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		s, err := f.open(1, false)
		if err != nil {
			continue
		}
		if run(s) == ran {
			t.Cleanup(s.close)
			return s
		}
		s.close()
	}
	t.Fatalf("writes do not go on within %s", recovery)
	return nil
}

func manySessions(t *testing.T, f face) {
	const sessions = 150
	var wait sync.WaitGroup
	for n := range sessions {
		s := mustOpen(t, f, n%3, false)
		wait.Go(func() {
			key := fmt.Sprintf("many%d", n)
			expect(t, "write", ran, s.write(key, "v"))
			holds(t, s, key, "v")
		})
	}
	wait.Wait()
}

func lostPrimary(t *testing.T, f face) {
	// Instances must have known the endpoints for a while before they replace a primary.
	time.Sleep(calm)
	var mu sync.Mutex
	kept := make(map[string]string)
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
				s, err := f.open(n, false)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				key := fmt.Sprintf("kept%d-%d", n, i)
				got := s.write(key, "v")
				s.close()
				mu.Lock()
				kept[key] = got
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	f.lose()
	reader := again(t, f, func(s speaker) string { return s.write("after", "1") })
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wait.Wait()
	for key, got := range kept {
		values, learned := reader.read(key)
		switch {
		case learned != ran:
			t.Fatalf("reading %s: %s", key, learned)
		case got == ran && len(values) != 1:
			t.Errorf("%s was acknowledged and is there %d times", key, len(values))
		case got == notRun && len(values) != 0 || len(values) > 1:
			t.Errorf("%s was %q and is there %d times", key, got, len(values))
		}
	}
}

func undeclared(t *testing.T, f face) {
	if err := f.unknown(); err == nil {
		t.Error("a database that nobody declared was opened")
	}
}

func apart(t *testing.T, f face) {
	var wait sync.WaitGroup
	for n := range 12 {
		s := mustOpen(t, f, n%3, false)
		wait.Go(func() {
			mine := fmt.Sprintf("apart%d", n)
			for i := range 5 {
				key := fmt.Sprintf("%s-%d", mine, i)
				expect(t, "begin", ran, s.begin())
				expect(t, "write", ran, s.write(key, mine))
				holds(t, s, key, mine)
				end := s.commit
				if i%2 == 1 {
					end = s.rollback
				}
				expect(t, "end", ran, end())
				if i%2 == 1 {
					holds(t, s, key)
				} else {
					holds(t, s, key, mine)
				}
			}
		})
	}
	wait.Wait()
}
