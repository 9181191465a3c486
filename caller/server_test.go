package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
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

// words is a protocol of one word a line: a database, then begin, set or leave.
type words struct {
	conn net.Conn
	in   *bufio.Reader
	part string
}

func newWords(conn net.Conn) Codec { return &words{conn: conn, in: bufio.NewReader(conn)} }

func (w *words) line() (string, error) {
	text, err := w.in.ReadString('\n')
	w.part += text
	if err != nil {
		return "", err
	}
	text, w.part = w.part, ""
	return strings.TrimSpace(text), nil
}

func (w *words) Open() (statement.Opening, error) {
	text, err := w.line()
	return statement.Opening{Database: text}, err
}

func (w *words) Greet() error { return w.say("hello") }

func (w *words) Next() (statement.Request, error) {
	text, err := w.line()
	switch {
	case err != nil:
		return statement.Request{}, err
	case text == "leave":
		return statement.Request{}, io.EOF
	case text == "begin":
		return statement.Request{ID: "b", Kind: statement.Begin}, nil
	case text == "set":
		return statement.Request{ID: "s", Kind: statement.Set, Name: "a", Value: "b"}, nil
	default:
		return statement.Request{}, verdict.New(verdict.NotRun, verdict.Malformed, "unknown word")
	}
}

func (w *words) Answer(a statement.Answer, done bool) error {
	text := "state"
	if done {
		text = "done"
	}
	if a.Failure != nil {
		text = string(a.Failure.Reason)
	}
	return w.say(text)
}

func (w *words) Refuse(e *verdict.Error) error      { return w.say("refused " + string(e.Reason)) }
func (w *words) SetReadDeadline(at time.Time) error { return w.conn.SetReadDeadline(at) }
func (w *words) say(text string) error              { _, err := w.conn.Write([]byte(text + "\n")); return err }

type fixed struct{ catalog *config.Catalog }

func (f fixed) Catalog() *config.Catalog { return f.catalog }

// serve starts a server with one route; idle bounds its transactions.
func serve(t *testing.T, idle time.Duration) (*Server, string) {
	t.Helper()
	catalog := config.NewCatalog(config.Set{
		Databases: []config.Database{{Name: "db"}}, Routes: []config.Route{{Name: "main", Database: "db", Reads: config.ReadsPrimary}},
	}).WithIdleTimeout(idle)
	ctx, cancel := context.WithCancel(context.Background())
	registry := database.NewRegistry(database.Options{Clock: clock.System{}, Logger: event.Discard()})
	registry.Configure(catalog, nil, 1)
	d := dispatch.New(ctx, dispatch.Options{Catalogs: fixed{catalog}, Databases: registry, Clock: clock.System{}, Logger: event.Discard()})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(ctx, listener, Options{Protocol: newWords, Dispatcher: d, Clock: clock.System{}, Logger: event.Discard()})
	t.Cleanup(func() {
		cancel()
		<-s.Done()
		<-d.Done()
	})
	return s, listener.Addr().String()
}

// talk opens a session and returns its two directions.
func talk(t *testing.T, address, database string) (func(string), func() string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	in := bufio.NewReader(conn)
	say := func(text string) { _, _ = conn.Write([]byte(text + "\n")) }
	hear := func() string {
		text, err := in.ReadString('\n')
		if err != nil {
			return "end"
		}
		return strings.TrimSpace(text)
	}
	say(database)
	return say, hear
}

// hears holds what a caller hears to what it should.
func hears(t *testing.T, hear func() string, want ...string) {
	t.Helper()
	var got []string
	for range want {
		got = append(got, hear())
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestConversation(t *testing.T) {
	_, address := serve(t, 0)
	say, hear := talk(t, address, "main")
	hears(t, hear, "hello")
	say("set")
	say("what")
	say("leave")
	hears(t, hear, "done", "malformed", "end")
	_, refused := talk(t, address, "nobody")
	hears(t, refused, "refused unrouted", "end")
}

// TestFarewell tells idle sessions at once and lets transactions end; a request that meets the farewell gets its state.
func TestFarewell(t *testing.T) {
	s, address := serve(t, 0)
	_, idle := talk(t, address, "main")
	hears(t, idle, "hello")
	say, open := talk(t, address, "main")
	say("begin")
	hears(t, open, "hello", "done")
	crossing, crossed := talk(t, address, "main")
	hears(t, crossed, "hello")
	s.Drain()
	hears(t, idle, "refused leaving")
	crossing("set")
	hears(t, crossed, "refused leaving", "state", "end")
	say("set")
	hears(t, open, "done")
	s.Close()
	hears(t, open, "refused leaving", "end")
}

// TestIdleTransaction ends a transaction whose caller rests in it for too long.
func TestIdleTransaction(t *testing.T) {
	_, address := serve(t, 50*time.Millisecond)
	say, hear := talk(t, address, "main")
	say("begin")
	hears(t, hear, "hello", "done", "refused aborted")
}
