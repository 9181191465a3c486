package entry

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
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

// owners is a fake: every endpoint answers questions, and transactions by what serve makes of them.
type owners struct {
	serve func(open *wire.Open, stream peer.Stream)
	fail  error
}

func (o *owners) Open(ctx context.Context, _ config.Endpoint) (peer.Stream, error) {
	if o.fail != nil {
		return nil, o.fail
	}
	near, far := peer.Pipe(ctx)
	go func() {
		first, err := far.Receive()
		if err == nil {
			o.serve(first.GetOpen(), far)
		}
		_ = far.Close()
	}()
	return near, nil
}

func (o *owners) Ask(_ context.Context, e config.Endpoint, _ pool.Question) (pool.Report, error) {
	s := endpoint.Status{Role: endpoint.Replica, Fenced: 1, Log: endpoint.Position{Term: 1, Offset: 7}, Applied: endpoint.Position{Term: 1, Offset: 7}, Receiving: true}
	if e.Name == "a" {
		s.Role = endpoint.Primary
	}
	return pool.Report{Status: s}, nil
}

type catalogs struct{ catalog *config.Catalog }

func (c catalogs) Catalog() *config.Catalog { return c.catalog }

const testIdle = 300 * time.Millisecond

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

// begin starts an entry over fake owners and returns its address.
func begin(t *testing.T, o *owners) (*Server, string) {
	t.Helper()
	text, err := verifier.WithSalt("secret", []byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	source, problems := config.ParseSource("o", []byte(strings.Replace(objects, "VERIFIER", text, 1)))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := New(ctx, listener, Options{
		ID: "i0", Domain: "r/a", Keys: [][]byte{[]byte("key")}, Clock: clock.System{}, Logger: event.Discard(), Owners: o,
		Catalogs: catalogs{config.NewCatalog(source.Set)}, IdleTimeout: testIdle, Unreachable: func(config.Endpoint) {}, ForwardCancel: func(context.Context, uint32, uint32) {},
	})
	t.Cleanup(func() {
		cancel()
		<-e.Done()
	})
	return e, listener.Addr().String()
}

func messages(t *testing.T, all ...pgproto3.BackendMessage) []byte {
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

// answering is a fake owner's part that completes every request at once.
func answering(t *testing.T) func(*wire.Open, peer.Stream) {
	return func(open *wire.Open, stream peer.Stream) {
		payload := messages(t, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
		response := &wire.Response{Payload: payload, Last: true, Status: 'I'}
		if open.GetWrite() {
			response.Position = &wire.Position{Term: 1, Offset: 9}
		}
		_ = stream.Send(&wire.Frame{Body: &wire.Frame_Response{Response: response}})
	}
}

func refusing(failure *verdict.Error) func(*wire.Open, peer.Stream) {
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
	_, address := begin(t, &owners{serve: answering(t)})
	tests := map[string]struct {
		url  string
		code string
	}{
		"wrong password":    {url: "anna:wrong@ADDRESS/certstore", code: codePassword},
		"unknown caller":    {url: "berit:secret@ADDRESS/certstore", code: codePassword},
		"unknown service":   {url: "anna:secret@ADDRESS/other", code: codeDatabase},
		"unknown route":     {url: "anna:secret@ADDRESS/certstore%2Fother", code: codeDatabase},
		"unknown setting":   {url: "anna:secret@ADDRESS/certstore?log_statement=all", code: codeFeature},
		"foreign encoding":  {url: "anna:secret@ADDRESS/certstore?client_encoding=latin1", code: codeFeature},
		"replication":       {url: "anna:secret@ADDRESS/certstore?replication=database", code: codeFeature},
		"options not split": {url: "anna:secret@ADDRESS/certstore?options=-cjit%3Doff", code: codeFeature},
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

// startup returns a valid startup message.
func startup(t *testing.T) []byte {
	m := pgproto3.StartupMessage{ProtocolVersion: protocolVersion, Parameters: map[string]string{"user": "anna", "database": "certstore"}}
	data, err := m.Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestBadBytes sends what no driver sends: each connection ends within bounds, and a well-behaved caller notices nothing.
func TestBadBytes(t *testing.T) {
	_, address := begin(t, &owners{serve: answering(t)})
	good := connect(t, address, "certstore")
	tests := map[string]struct {
		data []byte
		code string
	}{
		"startup of 4 bytes":     {data: []byte{0, 0, 0, 4}, code: codeProtocol},
		"startup of 2 GB":        {data: []byte{127, 255, 255, 255, 0, 3, 0, 0}, code: codeProtocol},
		"protocol version 2":     {data: []byte{0, 0, 0, 8, 0, 2, 0, 0}, code: codeFeature},
		"malformed parameters":   {data: []byte{0, 0, 0, 10, 0, 3, 0, 0, 'u', 's'}, code: codeProtocol},
		"query before password":  {data: append(startup(t), message.New(message.Query, []byte("select 1\x00"))...), code: codeProtocol},
		"malformed SASL":         {data: append(startup(t), message.New('p', []byte("x"))...), code: codeProtocol},
		"another SASL mechanism": {data: append(startup(t), message.New('p', append([]byte("PLAIN\x00"), 0, 0, 0, 0))...), code: codeProtocol},
		"cancel of nobody":       {data: binary.BigEndian.AppendUint64([]byte{0, 0, 0, 16, 4, 210, 22, 46}, 12345)},
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
			if _, err := good.Exec(context.Background(), "SELECT 1"); err != nil {
				t.Errorf("another caller noticed: %v", err)
			}
		})
	}
}

// TestHalfOpen leaves a thousand connections without a word: others are still served.
func TestHalfOpen(t *testing.T) {
	_, address := begin(t, &owners{serve: answering(t)})
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

// TestVerdicts shows what callers are told, and how often a request was sent.
func TestVerdicts(t *testing.T) {
	notRun := verdict.New(verdict.NotRun, verdict.Stale, "stale").WithAfter(time.Second)
	overload := verdict.New(verdict.NotRun, verdict.Overload, "full").WithAfter(time.Second)
	mayHave := verdict.New(verdict.MayHaveRun, verdict.Unconfirmed, "unconfirmed")
	tests := map[string]struct {
		sql    string
		serve  func(*wire.Open, peer.Stream)
		code   string
		detail string
		most   int
	}{
		"write, may have run":            {sql: "INSERT x", serve: refusing(mayHave), code: verdict.CodeMayHaveRun, detail: `verdict="may have run"`, most: 1},
		"write, overload":                {sql: "INSERT x", serve: refusing(overload), code: verdict.CodeOverload, detail: "retry_after_ms=1000", most: 1},
		"write, stream cut":              {sql: "INSERT x", serve: func(*wire.Open, peer.Stream) {}, code: verdict.CodeMayHaveRun, detail: "reason=broken", most: 1},
		"read, stream cut everywhere":    {sql: "SELECT x", serve: func(*wire.Open, peer.Stream) {}, code: verdict.CodeNotRun, detail: `verdict="not run"`, most: 9},
		"read, stale everywhere":         {sql: "SELECT x", serve: refusing(notRun), code: verdict.CodeNotRun, detail: "reason=stale retry_after_ms=1000", most: 9},
		"COPY":                           {sql: "COPY x FROM STDIN", code: verdict.CodeUnsupported, detail: `verdict="not run"`},
		"LISTEN":                         {sql: "LISTEN x", code: verdict.CodeUnsupported, detail: `verdict="not run"`},
		"session lock":                   {sql: "SELECT pg_advisory_lock(1)", code: verdict.CodeUnsupported, detail: `verdict="not run"`},
		"setting that can't follow":      {sql: "SET log_statement = 'all'", code: codeFeature},
		"setting with a second command":  {sql: "SET jit = off; DROP TABLE x", code: verdict.CodeUnsupported},
		"setting that is not a literal":  {sql: "SET search_path = (SELECT 1)", code: codeParameter},
		"temporary table":                {sql: "CREATE TEMP TABLE x (a int)", code: verdict.CodeUnsupported},
		"unknown route chosen":           {sql: "SET siskincove.route = 'other'", code: codeDatabase},
		"prepared by SQL":                {sql: "PREPARE p AS SELECT 1", code: verdict.CodeUnsupported},
		"two statements, one is refused": {sql: "SELECT 1; LISTEN x", code: verdict.CodeUnsupported},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sent := make(chan struct{}, 100)
			fake := &owners{serve: func(open *wire.Open, stream peer.Stream) {
				sent <- struct{}{}
				test.serve(open, stream)
			}}
			_, address := begin(t, fake)
			conn := connect(t, address, "certstore")
			_, err := conn.Exec(context.Background(), test.sql)
			var failure *pgproto3Error
			if !asError(err, &failure) || failure.Code != test.code || !strings.Contains(failure.Detail, test.detail) {
				t.Errorf("error %+v, want %s %s", failure, test.code, test.detail)
			}
			if len(sent) > test.most {
				t.Errorf("sent %d times, at most %d", len(sent), test.most)
			}
			if conn.IsClosed() {
				t.Error("the session ended")
			}
		})
	}
}

// TestSession shows what follows a session.
func TestSession(t *testing.T) {
	opened := make(chan *wire.Open, 100)
	answer := answering(t)
	_, address := begin(t, &owners{serve: func(open *wire.Open, stream peer.Stream) {
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
		t.Errorf("a session without a token reads at the barrier: %s", diff)
	}
	if write := exec("INSERT x"); !write.GetWrite() || write.GetEndpoint() != "a" {
		t.Errorf("write goes to %s", write.GetEndpoint())
	}
	if diff := cmp.Diff(uint64(9), exec("SELECT 1").GetToken().GetOffset()); diff != "" {
		t.Errorf("after its write: %s", diff)
	}
	token := conn.PgConn().ParameterStatus("siskincove.token")
	exec("SET siskincove.route = 'second'")
	if open := exec("SELECT 1"); open.GetRoute() != "second" || open.GetEndpoint() != "a" {
		t.Errorf("second route is served as %s at %s", open.GetRoute(), open.GetEndpoint())
	}
	exec("DISCARD ALL")
	if diff := cmp.Diff(0, len(settingsOf(exec("SELECT 1")))); diff != "" {
		t.Error(diff)
	}
	roamed := connect(t, address, "certstore?sslmode=disable&siskincove.token="+token)
	if _, err := roamed.Exec(ctx, "SELECT 1"); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(uint64(9), (<-opened).GetToken().GetOffset()); diff != "" {
		t.Errorf("a token that was brought along: %s", diff)
	}
	forged := connect(t, address, "certstore?sslmode=disable&siskincove.token="+strings.Replace(token, ":9", ":1", 1))
	if _, err := forged.Exec(ctx, "SELECT 1"); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(uint64(7), (<-opened).GetToken().GetOffset()); diff != "" {
		t.Errorf("a forged token is replaced by the barrier: %s", diff)
	}
}

func settingsOf(open *wire.Open) []string {
	out := []string{}
	for _, s := range open.GetSettings() {
		out = append(out, s.GetName()+"="+s.GetValue())
	}
	return out
}

// TestIdleTransaction leaves a transaction idle: it is ended, its owner is told, and the caller learns why.
func TestIdleTransaction(t *testing.T) {
	left := make(chan struct{})
	_, address := begin(t, &owners{serve: func(_ *wire.Open, stream peer.Stream) {
		payload := messages(t, &pgproto3.CommandComplete{CommandTag: []byte("BEGIN")}, &pgproto3.ReadyForQuery{TxStatus: 'T'})
		_ = stream.Send(&wire.Frame{Body: &wire.Frame_Response{Response: &wire.Response{Payload: payload, Last: true, Status: 'T'}}})
		if _, err := stream.Receive(); err != nil {
			close(left)
		}
	}})
	conn := connect(t, address, "certstore")
	ctx := context.Background()
	if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
		t.Fatal(err)
	}
	<-left
	_, err := conn.Exec(ctx, "SELECT 1")
	var failure *pgproto3Error
	if !asError(err, &failure) || failure.Code != codeIdle {
		t.Errorf("error %v, want SQLSTATE %s", err, codeIdle)
	}
}

// TestMisdeclaredRead sends a statement that looks like a read and writes: the endpoint refuses it on its read-only
// connection, and it runs once, as a write at the primary.
func TestMisdeclaredRead(t *testing.T) {
	opened := make(chan *wire.Open, 100)
	answer, refuse := answering(t), refusing(verdict.New(verdict.NotRun, verdict.ReadOnly, "statement writes"))
	_, address := begin(t, &owners{serve: func(open *wire.Open, stream peer.Stream) {
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

// TestDeallocate drops prepared statements inside a transaction: the endpoint, whose statements are shared, is not asked.
func TestDeallocate(t *testing.T) {
	requests := make(chan string, 10)
	_, address := begin(t, &owners{serve: func(open *wire.Open, stream peer.Stream) {
		payload := messages(t, &pgproto3.CommandComplete{CommandTag: []byte("BEGIN")}, &pgproto3.ReadyForQuery{TxStatus: 'T'})
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
		t.Errorf("the endpoint was sent %q", <-requests)
	}
}
