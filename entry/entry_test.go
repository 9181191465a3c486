package entry

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/message"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/pool"
	"siskincove/verdict"
	"siskincove/verifier"
)

// fakeOwners stands for the owners of all endpoints. Every endpoint answers status requests, a as the primary and the
// others as replicas; streams are passed to serve.
type fakeOwners struct {
	serve func(open *wire.Open, stream peer.Stream)
	fail  error
}

func (o *fakeOwners) Open(ctx context.Context, _ config.Endpoint) (peer.Stream, error) {
	if o.fail != nil {
		return nil, o.fail
	}
	callerEnd, ownerEnd := peer.Pipe(ctx)
	go func() {
		first, err := ownerEnd.Receive()
		if err == nil {
			o.serve(first.GetOpen(), ownerEnd)
		}
		_ = ownerEnd.Close()
	}()
	return callerEnd, nil
}

func (o *fakeOwners) RequestStatus(_ context.Context, e config.Endpoint, _ pool.StatusRequest) (pool.Report, error) {
	s := endpoint.Status{Role: endpoint.Replica, Fenced: 1, Log: endpoint.Position{Term: 1, Offset: 7}, Applied: endpoint.Position{Term: 1, Offset: 7}, Receiving: true}
	if e.Name == "a" {
		s.Role = endpoint.Primary
	}
	return pool.Report{Status: s}, nil
}

// currentCatalog is a configuration that tests replace while sessions are open.
type currentCatalog struct{ atomic.Pointer[config.Catalog] }

func (c *currentCatalog) Catalog() *config.Catalog { return c.Load() }

const testIdleTimeout = 300 * time.Millisecond

const objects = `
[[service]]
name = "certstore"
route = "main"
[[route]]
name = "main"
service = "certstore"
database = "cert1"
reads = "replica"
limit = "l"
[[route]]
name = "second"
service = "certstore"
database = "cert1"
reads = "primary"
[[limit]]
name = "l"
deadline = "2s"
[[database]]
name = "cert1"
[[endpoint]]
name = "a"
database = "cert1"
[[endpoint]]
name = "b"
database = "cert1"
[[endpoint]]
name = "c"
database = "cert1"
[[caller]]
name = "anna"
services = ["certstore"]
verifier = "VERIFIER"
`

// startServer starts a server with fake owners and returns its address.
func startServer(t *testing.T, o *fakeOwners) (*Server, string) {
	t.Helper()
	var catalogs currentCatalog
	catalogs.Store(parseObjects(t, objects))
	return startServerWith(t, o, &catalogs, nil)
}

// parseObjects returns the catalog of objects, in which the password of callers is secret.
func parseObjects(t *testing.T, objects string) *config.Catalog {
	t.Helper()
	text, err := verifier.WithSalt("secret", []byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	source, problems := config.ParseSource("o", []byte(strings.Replace(objects, "VERIFIER", text, 1)))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return config.NewCatalog(source.Set)
}

// startServerWith starts a server with a configuration that the test may replace, and with allotments, nil for none.
func startServerWith(t *testing.T, o *fakeOwners, catalogs CatalogSource, allotments Allotments) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := New(ctx, listener, Options{
		ID: "i0", Domain: "r/a", Keys: [][]byte{[]byte("key")}, Clock: clock.System{}, Logger: event.Discard(), Owners: o,
		Catalogs: catalogs, Allotments: allotments, IdleTimeout: testIdleTimeout, OnOwnerUnreachable: func(config.Endpoint) {}, ForwardCancel: func(context.Context, uint32, uint32) {},
	})
	t.Cleanup(func() {
		cancel()
		<-s.Done()
	})
	return s, listener.Addr().String()
}

func encodeMessages(t *testing.T, all ...pgproto3.BackendMessage) []byte {
	var out []byte
	for _, m := range all {
		data, err := m.Encode(nil)
		if err != nil {
			t.Error(err)
		}
		out = append(out, data...)
	}
	return out
}

// answerRequests returns a serve function that completes each request at once, a write at offset 9.
func answerRequests(t *testing.T) func(*wire.Open, peer.Stream) {
	return func(open *wire.Open, stream peer.Stream) {
		payload := encodeMessages(t, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
		response := &wire.Response{Payload: payload, Last: true, Status: 'I'}
		if open.GetWrite() {
			response.Position = &wire.Position{Term: 1, Offset: 9}
		}
		_ = stream.Send(&wire.Frame{Body: &wire.Frame_Response{Response: response}})
	}
}

// refuseRequests returns a serve function that answers each request with a failure.
func refuseRequests(failure *verdict.Error) func(*wire.Open, peer.Stream) {
	return func(_ *wire.Open, stream peer.Stream) {
		_ = stream.Send(&wire.Frame{Body: &wire.Frame_Response{Response: &wire.Response{Last: true, Failure: peer.ToFailure(failure)}}})
	}
}

func connect(t *testing.T, address, database string) *pgx.Conn {
	t.Helper()
	if !strings.Contains(database, "?") {
		database += "?sslmode=disable"
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, "postgres://anna:secret@"+address+"/"+database)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func TestStartRefusals(t *testing.T) {
	_, address := startServer(t, &fakeOwners{serve: answerRequests(t)})
	tests := map[string]struct {
		url  string
		code string
	}{
		"wrong password":       {url: "anna:wrong@ADDRESS/certstore", code: codePassword},
		"unknown caller":       {url: "berit:secret@ADDRESS/certstore", code: codePassword},
		"unknown service":      {url: "anna:secret@ADDRESS/other", code: codeDatabase},
		"unknown route":        {url: "anna:secret@ADDRESS/certstore%2Fother", code: codeDatabase},
		"unknown setting":      {url: "anna:secret@ADDRESS/certstore?log_statement=all", code: codeFeature},
		"unsupported encoding": {url: "anna:secret@ADDRESS/certstore?client_encoding=latin1", code: codeFeature},
		"replication":          {url: "anna:secret@ADDRESS/certstore?replication=database", code: codeFeature},
		"startup options":      {url: "anna:secret@ADDRESS/certstore?options=-cjit%3Doff", code: codeFeature},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			separator := "?"
			if strings.Contains(test.url, "?") {
				separator = "&"
			}
			_, err := pgx.Connect(ctx, "postgres://"+strings.Replace(test.url, "ADDRESS", address, 1)+separator+"sslmode=disable")
			if err == nil || !strings.Contains(err.Error(), "SQLSTATE "+test.code) {
				t.Errorf("error %v, want SQLSTATE %s", err, test.code)
			}
		})
	}
}

// startupMessage returns a valid startup message.
func startupMessage(t *testing.T) []byte {
	m := pgproto3.StartupMessage{ProtocolVersion: protocolVersion, Parameters: map[string]string{"user": "anna", "database": "certstore"}}
	data, err := m.Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestMalformedInput sends input that no driver sends: the server must close each connection, with the right SQLSTATE
// where it answers, and go on serving another caller.
func TestMalformedInput(t *testing.T) {
	_, address := startServer(t, &fakeOwners{serve: answerRequests(t)})
	other := connect(t, address, "certstore")
	tests := map[string]struct {
		data []byte
		code string
	}{
		"startup of 4 bytes":                 {data: []byte{0, 0, 0, 4}, code: codeProtocol},
		"startup of 2 GB":                    {data: []byte{127, 255, 255, 255, 0, 3, 0, 0}, code: codeProtocol},
		"protocol version 2":                 {data: []byte{0, 0, 0, 8, 0, 2, 0, 0}, code: codeFeature},
		"malformed parameters":               {data: []byte{0, 0, 0, 10, 0, 3, 0, 0, 'u', 's'}, code: codeProtocol},
		"query before password":              {data: append(startupMessage(t), message.New(message.Query, []byte("select 1\x00"))...), code: codeProtocol},
		"malformed SASL":                     {data: append(startupMessage(t), message.New('p', []byte("x"))...), code: codeProtocol},
		"SASL mechanism not offered":         {data: append(startupMessage(t), message.New('p', append([]byte("PLAIN\x00"), 0, 0, 0, 0))...), code: codeProtocol},
		"cancel request for unknown session": {data: binary.BigEndian.AppendUint64([]byte{0, 0, 0, 16, 4, 210, 22, 46}, 12345)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := conn.Write(test.data); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			answer, err := io.ReadAll(conn)
			if err != nil {
				t.Fatalf("connection was not closed: %v", err)
			}
			if !strings.Contains(string(answer), test.code) {
				t.Errorf("answer %q, want SQLSTATE %q", answer, test.code)
			}
			if _, err := other.Exec(context.Background(), "SELECT 1"); err != nil {
				t.Errorf("another caller's statement failed: %v", err)
			}
		})
	}
}

// TestUnauthenticatedConnections opens 1000 connections that send nothing: other callers must still be served.
func TestUnauthenticatedConnections(t *testing.T) {
	_, address := startServer(t, &fakeOwners{serve: answerRequests(t)})
	for range 1000 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	conn := connect(t, address, "certstore")
	if _, err := conn.Exec(context.Background(), "SELECT 1"); err != nil {
		t.Error(err)
	}
}

// TestVerdicts checks the SQLSTATE and verdict that a caller receives, and how often its request was sent to endpoints.
func TestVerdicts(t *testing.T) {
	stale := verdict.New(verdict.NotRun, verdict.Stale, "stale").WithRetryAfter(time.Second)
	overload := verdict.New(verdict.NotRun, verdict.Overload, "full").WithRetryAfter(time.Second)
	mayHaveRun := verdict.New(verdict.MayHaveRun, verdict.Unconfirmed, "unconfirmed")
	tests := map[string]struct {
		sql     string
		serve   func(*wire.Open, peer.Stream)
		code    string
		detail  string
		maxSent int
	}{
		"write, may have run":             {sql: "INSERT x", serve: refuseRequests(mayHaveRun), code: verdict.CodeMayHaveRun, detail: `verdict="may have run"`, maxSent: 1},
		"write, overload":                 {sql: "INSERT x", serve: refuseRequests(overload), code: verdict.CodeOverload, detail: "retry_after_ms=1000", maxSent: 1},
		"write, stream broken":            {sql: "INSERT x", serve: func(*wire.Open, peer.Stream) {}, code: verdict.CodeMayHaveRun, detail: "reason=broken", maxSent: 1},
		"read, all streams broken":        {sql: "SELECT x", serve: func(*wire.Open, peer.Stream) {}, code: verdict.CodeNotRun, detail: `verdict="not run"`, maxSent: 9},
		"read, all endpoints stale":       {sql: "SELECT x", serve: refuseRequests(stale), code: verdict.CodeNotRun, detail: "reason=stale retry_after_ms=1000", maxSent: 9},
		"COPY":                            {sql: "COPY x FROM STDIN", code: verdict.CodeUnsupported, detail: `verdict="not run"`},
		"LISTEN":                          {sql: "LISTEN x", code: verdict.CodeUnsupported, detail: `verdict="not run"`},
		"session-level advisory lock":     {sql: "SELECT pg_advisory_lock(1)", code: verdict.CodeUnsupported, detail: `verdict="not run"`},
		"unsupported session setting":     {sql: "SET log_statement = 'all'", code: codeFeature},
		"setting with a second command":   {sql: "SET jit = off; DROP TABLE x", code: verdict.CodeUnsupported},
		"setting that is not a literal":   {sql: "SET search_path = (SELECT 1)", code: codeParameter},
		"temporary table":                 {sql: "CREATE TEMP TABLE x (a int)", code: verdict.CodeUnsupported},
		"SET to unknown route":            {sql: "SET siskincove.route = 'other'", code: codeDatabase},
		"SQL PREPARE":                     {sql: "PREPARE p AS SELECT 1", code: verdict.CodeUnsupported},
		"two statements, one unsupported": {sql: "SELECT 1; LISTEN x", code: verdict.CodeUnsupported},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sent := make(chan struct{}, 100)
			fake := &fakeOwners{serve: func(open *wire.Open, stream peer.Stream) {
				sent <- struct{}{}
				test.serve(open, stream)
			}}
			_, address := startServer(t, fake)
			conn := connect(t, address, "certstore")
			_, err := conn.Exec(context.Background(), test.sql)
			var failure *pgError
			if !asPgError(err, &failure) || failure.Code != test.code || !strings.Contains(failure.Detail, test.detail) {
				t.Errorf("error %+v, want %s %s", failure, test.code, test.detail)
			}
			if len(sent) > test.maxSent {
				t.Errorf("sent %d times, at most %d", len(sent), test.maxSent)
			}
			if conn.IsClosed() {
				t.Error("the server closed the session")
			}
		})
	}
}

// TestSession checks the state that the proxy keeps for a session: settings, route and token. A session without a valid
// token reads at the barrier, and a token takes effect in another session of the same caller.
func TestSession(t *testing.T) {
	opened := make(chan *wire.Open, 100)
	answer := answerRequests(t)
	_, address := startServer(t, &fakeOwners{serve: func(open *wire.Open, stream peer.Stream) {
		opened <- open
		answer(open, stream)
	}})
	ctx := context.Background()
	conn := connect(t, address, "certstore")
	exec := func(sql string) *wire.Open {
		t.Helper()
		if _, err := conn.Exec(ctx, sql); err != nil {
			t.Fatal(err)
		}
		select {
		case open := <-opened:
			return open
		default:
			return nil
		}
	}
	exec("SET search_path TO inventory, public")
	read := exec("SELECT 1")
	if diff := cmp.Diff([]string{"search_path=inventory, public"}, settingsOf(read)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(uint64(7), read.GetToken().GetOffset()); diff != "" || read.GetWrite() {
		t.Errorf("read of a session without a token, want a read at the barrier: %s", diff)
	}
	if write := exec("INSERT x"); !write.GetWrite() || write.GetEndpoint() != "a" {
		t.Errorf("write sent to %s, want a write to a", write.GetEndpoint())
	}
	if diff := cmp.Diff(uint64(9), exec("SELECT 1").GetToken().GetOffset()); diff != "" {
		t.Errorf("read after the session's write: %s", diff)
	}
	token := conn.PgConn().ParameterStatus("siskincove.token")
	exec("SET siskincove.route = 'second'")
	if open := exec("SELECT 1"); open.GetRoute() != "second" || open.GetEndpoint() != "a" {
		t.Errorf("read sent with route %s to %s, want second and a", open.GetRoute(), open.GetEndpoint())
	}
	exec("DISCARD ALL")
	if diff := cmp.Diff(0, len(settingsOf(exec("SELECT 1")))); diff != "" {
		t.Error(diff)
	}
	reconnected := connect(t, address, "certstore?sslmode=disable&siskincove.token="+token)
	if _, err := reconnected.Exec(ctx, "SELECT 1"); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(uint64(9), (<-opened).GetToken().GetOffset()); diff != "" {
		t.Errorf("read with a token from another session: %s", diff)
	}
	forged := connect(t, address, "certstore?sslmode=disable&siskincove.token="+strings.Replace(token, ":9", ":1", 1))
	if _, err := forged.Exec(ctx, "SELECT 1"); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(uint64(7), (<-opened).GetToken().GetOffset()); diff != "" {
		t.Errorf("read with a forged token, want a read at the barrier: %s", diff)
	}
}

func settingsOf(open *wire.Open) []string {
	out := []string{}
	for _, s := range open.GetSettings() {
		out = append(out, s.GetName()+"="+s.GetValue())
	}
	return out
}

// TestIdleTransaction checks that a transaction past the idle timeout is ended, that the stream to its owner is closed
// and that the caller receives the SQLSTATE.
func TestIdleTransaction(t *testing.T) {
	streamClosed := make(chan struct{})
	_, address := startServer(t, &fakeOwners{serve: func(_ *wire.Open, stream peer.Stream) {
		payload := encodeMessages(t, &pgproto3.CommandComplete{CommandTag: []byte("BEGIN")}, &pgproto3.ReadyForQuery{TxStatus: 'T'})
		_ = stream.Send(&wire.Frame{Body: &wire.Frame_Response{Response: &wire.Response{Payload: payload, Last: true, Status: 'T'}}})
		if _, err := stream.Receive(); err != nil {
			close(streamClosed)
		}
	}})
	conn := connect(t, address, "certstore")
	ctx := context.Background()
	if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	<-streamClosed
	_, err := conn.Exec(ctx, "SELECT 1")
	var failure *pgError
	if !asPgError(err, &failure) || failure.Code != codeIdle {
		t.Errorf("error %v, want SQLSTATE %s", err, codeIdle)
	}
}

// TestMisdeclaredRead runs a statement that is classified as a read but writes: the endpoint refuses it on its read-only
// connection, and it must then run once, as a write on the primary.
func TestMisdeclaredRead(t *testing.T) {
	opened := make(chan *wire.Open, 100)
	answer, refuse := answerRequests(t), refuseRequests(verdict.New(verdict.NotRun, verdict.ReadOnly, "statement writes"))
	_, address := startServer(t, &fakeOwners{serve: func(open *wire.Open, stream peer.Stream) {
		opened <- open
		if open.GetWrite() {
			answer(open, stream)
			return
		}
		refuse(open, stream)
	}})
	conn := connect(t, address, "certstore")
	if _, err := conn.Exec(context.Background(), "SELECT next_serial()"); err != nil {
		t.Fatal(err)
	}
	var got []string
	for len(opened) > 0 {
		open := <-opened
		got = append(got, fmt.Sprintf("%s %t", open.GetEndpoint(), open.GetWrite()))
	}
	if len(got) != 2 || got[1] != "a true" {
		t.Errorf("sent to %v, want one read and then a write at a", got)
	}
}

// TestDeallocate runs DEALLOCATE ALL inside a transaction: it must not be sent to the endpoint, whose prepared statements
// are shared between sessions.
func TestDeallocate(t *testing.T) {
	requests := make(chan string, 10)
	_, address := startServer(t, &fakeOwners{serve: func(open *wire.Open, stream peer.Stream) {
		payload := encodeMessages(t, &pgproto3.CommandComplete{CommandTag: []byte("BEGIN")}, &pgproto3.ReadyForQuery{TxStatus: 'T'})
		_ = stream.Send(&wire.Frame{Body: &wire.Frame_Response{Response: &wire.Response{Payload: payload, Last: true, Status: 'T'}}})
		for {
			frame, err := stream.Receive()
			if err != nil {
				return
			}
			requests <- string(frame.GetRequest().GetPayload())
		}
	}})
	conn := connect(t, address, "certstore")
	for _, sql := range []string{"BEGIN", "DEALLOCATE ALL"} {
		if _, err := conn.Exec(context.Background(), sql); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(byte('T'), conn.PgConn().TxStatus()); diff != "" {
		t.Error(diff)
	}
	if len(requests) > 0 {
		t.Errorf("request %q was sent to the endpoint, want none", <-requests)
	}
}
