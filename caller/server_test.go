package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/database"
	"siskincove/dispatch"
	"siskincove/event"
	"siskincove/statement"
	"siskincove/verdict"
)

// wordCodec is a test protocol with one word per line: first a database, which a key may follow, then begin, set, leave or bad, at which the codec panics.
type wordCodec struct {
	conn    net.Conn
	in      *bufio.Reader
	partial string
}

func newWordCodec(conn net.Conn) Codec { return &wordCodec{conn: conn, in: bufio.NewReader(conn)} }

func (w *wordCodec) readLine() (string, error) {
	text, err := w.in.ReadString('\n')
	w.partial += text
	if err != nil {
		return "", err
	}
	text, w.partial = w.partial, ""
	return strings.TrimSpace(text), nil
}

func (w *wordCodec) Open() (statement.StartupParameters, error) {
	text, err := w.readLine()
	database, key, _ := strings.Cut(text, " ")
	return statement.StartupParameters{Database: database, User: key}, err
}

func (w *wordCodec) ConfirmOpen() error { return w.writeLine("hello") }

func (w *wordCodec) Next() (statement.Request, error) {
	text, err := w.readLine()
	switch {
	case err != nil:
		return statement.Request{}, err
	case text == "leave":
		return statement.Request{}, io.EOF
	case text == "bad":
		panic("message that the codec can't handle")
	case text == "begin":
		return statement.Request{ID: "b", Kind: statement.Begin}, nil
	case text == "set":
		return statement.Request{ID: "s", Kind: statement.Set, Name: "a", Value: "b"}, nil
	default:
		return statement.Request{}, verdict.New(verdict.NotRun, verdict.Malformed, "unknown word")
	}
}

func (w *wordCodec) Answer(a statement.Answer, done bool) error {
	text := "state"
	if done {
		text = "done"
	}
	if a.Failure != nil {
		text = string(a.Failure.Reason)
	}
	return w.writeLine(text)
}

func (w *wordCodec) Free() {}

func (w *wordCodec) Refuse(e *verdict.Error) error      { return w.writeLine("refused " + string(e.Reason)) }
func (w *wordCodec) SetReadDeadline(at time.Time) error { return w.conn.SetReadDeadline(at) }
func (w *wordCodec) writeLine(text string) error {
	_, err := w.conn.Write([]byte(text + "\n"))
	return err
}

// currentCatalog is a configuration that tests replace while sessions are open.
type currentCatalog struct{ atomic.Pointer[config.Catalog] }

func (c *currentCatalog) Catalog() *config.Catalog { return c.Load() }

// startServer starts a server with one route; idle is the idle timeout of transactions, 0 for none.
func startServer(t *testing.T, idle time.Duration) (*Server, string) {
	t.Helper()
	var catalogs currentCatalog
	catalogs.Store(config.NewCatalog(testSet()).WithIdleTimeout(idle))
	return startServerWith(t, &catalogs, event.Discard())
}

func testSet() config.Set {
	return config.Set{
		Databases: []config.Database{{Name: "db"}}, Routes: []config.Route{{Name: "main", Database: "db", Reads: config.ReadsPrimary}},
	}
}

// startServerWith starts a server with a configuration that the test may replace.
func startServerWith(t *testing.T, catalogs *currentCatalog, logger *event.Logger) (*Server, string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	registry := database.NewRegistry(database.Options{Clock: clock.System{}, Logger: event.Discard()})
	registry.Configure(catalogs.Catalog(), nil, 1)
	d := dispatch.New(ctx, dispatch.Options{Catalogs: catalogs, Databases: registry, Clock: clock.System{}, Logger: event.Discard()})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(ctx, listener, Options{Protocol: newWordCodec, Dispatcher: d, Clock: clock.System{}, Logger: logger})
	t.Cleanup(func() {
		cancel()
		<-s.Done()
		<-d.Done()
	})
	return s, listener.Addr().String()
}

// connect opens a session and returns functions that send a line to the server and receive one from it. receive returns
// "end" once the connection is closed.
func connect(t *testing.T, address, database string) (func(string), func() string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	in := bufio.NewReader(conn)
	send := func(text string) { _, _ = conn.Write([]byte(text + "\n")) }
	receive := func() string {
		text, err := in.ReadString('\n')
		if err != nil {
			return "end"
		}
		return strings.TrimSpace(text)
	}
	send(database)
	return send, receive
}

// expectLines compares the next lines from the server with want.
func expectLines(t *testing.T, receive func() string, want ...string) {
	t.Helper()
	var got []string
	for range want {
		got = append(got, receive())
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestSession(t *testing.T) {
	_, address := startServer(t, 0)
	send, receive := connect(t, address, "main")
	expectLines(t, receive, "hello")
	send("set")
	send("what")
	send("leave")
	expectLines(t, receive, "done", "malformed", "end")
	_, unknownReceive := connect(t, address, "nobody")
	expectLines(t, unknownReceive, "refused unrouted", "end")
}

// TestDrainAndClose checks that Drain ends idle sessions at once and leaves open transactions until Close, and that a
// request that arrives after its session was ended is answered with the transaction state.
func TestDrainAndClose(t *testing.T) {
	s, address := startServer(t, 0)
	_, idleReceive := connect(t, address, "main")
	expectLines(t, idleReceive, "hello")
	openSend, openReceive := connect(t, address, "main")
	openSend("begin")
	expectLines(t, openReceive, "hello", "done")
	lateSend, lateReceive := connect(t, address, "main")
	expectLines(t, lateReceive, "hello")
	s.Drain()
	expectLines(t, idleReceive, "refused leaving")
	expectLines(t, lateReceive, "refused leaving")
	lateSend("set")
	expectLines(t, lateReceive, "state", "end")
	openSend("set")
	expectLines(t, openReceive, "done")
	s.Close()
	expectLines(t, openReceive, "refused leaving", "end")
}

// TestRequestsDuringDrain checks that a request that arrives while its session is being ended is answered exactly once: it
// is run and the session then ended, or it takes the refusal as its result.
func TestRequestsDuringDrain(t *testing.T) {
	s, address := startServer(t, 0)
	const sessions = 50
	send, receive := make([]func(string), sessions), make([]func() string, sessions)
	for n := range sessions {
		send[n], receive[n] = connect(t, address, "main")
		expectLines(t, receive[n], "hello")
	}
	go s.Drain()
	for n := range sessions {
		send[n]("set")
	}
	refused := []string{"refused leaving", "state", "end"}
	for n := range sessions {
		got := []string{receive[n](), receive[n](), receive[n]()}
		if got[0] == "done" {
			got[0], got[1] = got[1], "state"
		}
		if diff := cmp.Diff(refused, got); diff != "" {
			t.Errorf("session %d: %s", n, diff)
		}
	}
}

// TestPanic checks that a message at which the codec panics costs its caller the connection and nobody else.
func TestPanic(t *testing.T) {
	s, address := startServer(t, 0)
	otherSend, otherReceive := connect(t, address, "main")
	otherSend("begin")
	expectLines(t, otherReceive, "hello", "done")
	badSend, badReceive := connect(t, address, "main")
	badSend("begin")
	badSend("bad")
	expectLines(t, badReceive, "hello", "done", "end")
	otherSend("set")
	expectLines(t, otherReceive, "done")
	for n := 0; s.Sessions() > 1 && n < 100; n++ {
		time.Sleep(10 * time.Millisecond)
	}
	if n := s.Sessions(); n != 1 {
		t.Errorf("%d sessions are open", n)
	}
}

// TestIdleTransaction checks that a session is ended when its transaction exceeds the idle timeout.
func TestIdleTransaction(t *testing.T) {
	_, address := startServer(t, 50*time.Millisecond)
	send, receive := connect(t, address, "main")
	send("begin")
	expectLines(t, receive, "hello", "done", "refused aborted")
}
