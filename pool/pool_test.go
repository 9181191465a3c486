package pool

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/endpoint/managed"
	"siskincove/endpoint/postgres"
	"siskincove/event"
	"siskincove/message"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/standin/group"
	"siskincove/verdict"
)

// localOwner is an instance that owns every endpoint and is reached without a network.
type localOwner struct {
	owner *Owner
}

func (o *localOwner) Owner(config.Endpoint) (string, bool) { return "here", true }

func (o *localOwner) Owns(config.Endpoint) bool { return true }

func (o *localOwner) MayOwn(config.Endpoint) bool { return true }

func (o *localOwner) AffectsDomain(string, string) bool { return true }

func (o *localOwner) Open(ctx context.Context, _ string) (peer.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	clientEnd, ownerEnd := peer.Pipe(ctx)
	go func() {
		defer cancel()
		first, err := ownerEnd.Receive()
		if err == nil {
			o.owner.Serve(ctx, first, ownerEnd)
		}
		_ = ownerEnd.Close()
	}()
	return clientEnd, nil
}

const testSlots = 3

// testbed is a group with an owner of all its endpoints.
type testbed struct {
	t       *testing.T
	group   *group.Group
	members []config.Endpoint
	client  *Client
	owner   *Owner
}

func newTestbed(t *testing.T, vendor string) *testbed {
	t.Helper()
	return newTestbedWithInterval(t, vendor, 20*time.Millisecond)
}

// newTestbedWithInterval starts a group whose owner queries statuses at the given interval.
func newTestbedWithInterval(t *testing.T, vendor string, interval time.Duration) *testbed {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	g, err := group.New(ctx, clock.System{}, group.Options{
		Vendor: vendor, Addresses: []string{"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"}, Slots: testSlots, Connections: 40,
	})
	if err != nil {
		t.Fatal(err)
	}
	set := config.Set{
		Databases: []config.Database{{Name: "d", Vendor: vendor}},
		Limits:    []config.Limit{{Name: "l", Slots: testSlots, Connections: 20, Rate: 1000}},
		Routes:    []config.Route{{Name: "r", Database: "d"}},
	}
	for n, address := range g.Addresses() {
		set.Endpoints = append(set.Endpoints, config.Endpoint{Name: fmt.Sprintf("e%d", n), Database: "d", Address: address, Limit: "l"})
	}
	local := &localOwner{}
	client := NewClient(local, local)
	local.owner = NewOwner(ctx, OwnerOptions{
		Interval: interval, Clock: clock.System{}, Logger: event.Discard(), Client: client, Ownership: local,
		Vendors: []endpoint.Vendor{managed.Vendor{}, postgres.Vendor{}},
	})
	local.owner.Configure(config.NewCatalog(set))
	b := &testbed{t: t, group: g, members: config.NewCatalog(set).Members("d"), client: client, owner: local.owner}
	t.Cleanup(func() {
		_ = local.owner.Drain(ctx)
		cancel()
		<-g.Done()
	})
	b.eventually(func() bool {
		return b.run(true, "INSERT INTO t (key, value) VALUES ('first', 'x')").GetFailure() == nil
	})
	return b
}

func (b *testbed) eventually(condition func() bool) {
	b.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			b.t.Fatal("condition not met in time")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func query(sql string) *wire.Request {
	return &wire.Request{Payload: message.New(message.Query, append([]byte(sql), 0)), Ends: !strings.HasPrefix(sql, "BEGIN")}
}

// testStream is a stream to the owner of an endpoint.
type testStream struct {
	testbed *testbed
	stream  peer.Stream
}

func (b *testbed) open(member int, o *wire.Open) *testStream {
	b.t.Helper()
	stream, err := b.client.Open(context.Background(), b.members[member])
	if err != nil {
		b.t.Error(err)
		return nil
	}
	o.Endpoint, o.Route, o.Patience = b.members[member].Name, "r", 100_000
	if o.GetDeadline() == 0 {
		o.Deadline = 5_000_000
	}
	_ = stream.Send(&wire.Frame{Body: &wire.Frame_Open{Open: o}})
	return &testStream{testbed: b, stream: stream}
}

// finalResponse returns the last response to a request, with the payload of all its chunks.
func (s *testStream) finalResponse() *wire.Response {
	var payload []byte
	for {
		frame, err := s.stream.Receive()
		if err != nil {
			return &wire.Response{Failure: &wire.Failure{Reason: "stream", Message: err.Error()}}
		}
		response := frame.GetResponse()
		payload = append(payload, response.GetPayload()...)
		if response.GetLast() {
			response.Payload = payload
			return response
		}
	}
}

func (s *testStream) sendQuery(sql string) *wire.Response {
	_ = s.stream.Send(&wire.Frame{Body: &wire.Frame_Request{Request: query(sql)}})
	return s.finalResponse()
}

// run runs one statement at the first endpoint.
func (b *testbed) run(write bool, sql string) *wire.Response {
	b.t.Helper()
	return b.open(0, &wire.Open{Write: write, Request: query(sql)}).finalResponse()
}

func (b *testbed) setFaults(member int, edit func(*group.Faults)) {
	b.group.Members()[member].SetFaults(func(f group.Faults) group.Faults {
		edit(&f)
		return f
	})
}

func (b *testbed) countRows(key string) int {
	b.t.Helper()
	row, err := firstRow(b.run(false, "SELECT count(*) FROM t WHERE key = '"+key+"'").GetPayload())
	if err != nil {
		b.t.Fatal(err)
	}
	return int(row[0][0] - '0')
}

func insertSQL(key string) string { return "INSERT INTO t (key, value) VALUES ('" + key + "', 'v')" }

func outcomeOf(r *wire.Response) string {
	return verdict.Verdict(r.GetFailure().GetVerdict()).String() + ": " + r.GetFailure().GetReason()
}

// TestOutcomes injects a fault around one request and checks the outcome reported to the caller and how often the write
// was applied.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		setup     func(*testbed)
		open      *wire.Open
		sql       string
		want      string
		rowCounts []int
	}{
		"write": {sql: insertSQL("k"), open: &wire.Open{Write: true}, want: "may have run: ", rowCounts: []int{1}},
		"commit response lost": {
			setup: func(b *testbed) { b.setFaults(0, func(f *group.Faults) { f.LoseCommit = true }) },
			sql:   insertSQL("k"), open: &wire.Open{Write: true}, want: "may have run: broken", rowCounts: []int{0, 1},
		},
		"write sent as a read": {sql: insertSQL("k"), open: &wire.Open{}, want: "not run: readonly", rowCounts: []int{0}},
		"no replica can confirm": {
			setup: func(b *testbed) {
				b.setFaults(1, func(f *group.Faults) { f.CutPeers = true })
				b.setFaults(2, func(f *group.Faults) { f.CutPeers = true })
				time.Sleep((confirmableIntervals + 1) * certifyInterval)
			},
			sql: insertSQL("k"), open: &wire.Open{Write: true}, want: "not run: unconfirmable", rowCounts: []int{0},
		},
		"replicas lost during the commit": {
			setup: func(b *testbed) {
				b.setFaults(1, func(f *group.Faults) { f.CutPeers = true })
				b.setFaults(2, func(f *group.Faults) { f.CutPeers = true })
			},
			sql: insertSQL("k"), open: &wire.Open{Write: true, Deadline: 300_000}, want: "may have run: unconfirmed", rowCounts: []int{0, 1},
		},
		"token not reached": {
			sql: "SELECT value FROM t WHERE key = 'k'", open: &wire.Open{Token: &wire.Position{Term: 1, Offset: 1000}}, want: "not run: stale", rowCounts: []int{0},
		},
		"age unknown": {
			setup: func(b *testbed) { b.setFaults(0, func(f *group.Faults) { f.CutCallers = true }) },
			sql:   "SELECT value FROM t WHERE key = 'k'", open: &wire.Open{Age: 1}, want: "not run: unreachable|not run: stale", rowCounts: []int{0},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, "managed")
			if test.setup != nil {
				test.setup(b)
			}
			test.open.Request = query(test.sql)
			got := outcomeOf(b.open(0, test.open).finalResponse())
			if !strings.Contains("|"+test.want+"|", "|"+got+"|") {
				t.Errorf("outcome %q, want %q", got, test.want)
			}
			b.group.Members()[0].SetFaults(func(group.Faults) group.Faults { return group.Faults{} })
			n := b.countRows("k")
			if n != test.rowCounts[0] && n != test.rowCounts[len(test.rowCounts)-1] {
				t.Errorf("write applied %d times, want %v", n, test.rowCounts)
			}
		})
	}
}

// TestSuperseded fences both replicas under a higher term. The old primary must acknowledge no further write, fail
// waiting callers at once and issue no more certificates.
func TestSuperseded(t *testing.T) {
	for _, vendor := range []string{"managed", "postgres"} {
		t.Run(vendor, func(t *testing.T) {
			b := newTestbed(t, vendor)
			p, err := b.owner.findPool("e0")
			if err != nil {
				t.Fatal(err)
			}
			b.eventually(func() bool { return p.State().Age >= 0 && p.State().Age < 2000 })
			for _, e := range b.members[1:] {
				if _, err := b.client.Command(context.Background(), e, CommandFence, 5, ""); err != nil {
					t.Fatal(err)
				}
			}
			started := time.Now()
			got := outcomeOf(b.run(true, insertSQL("k")))
			if got != "may have run: unconfirmed" && got != "may have run: broken" && got != "not run: notprimary" {
				t.Errorf("outcome %q", got)
			}
			if took := time.Since(started); took > 3*time.Second {
				t.Errorf("caller waited for %s", took)
			}
			p.mu.Lock()
			before, _ := p.history.Newest()
			p.mu.Unlock()
			time.Sleep(2*certifyInterval + 100*time.Millisecond)
			p.mu.Lock()
			after, _ := p.history.Newest()
			p.mu.Unlock()
			if diff := cmp.Diff(before, after); diff != "" {
				t.Errorf("a superseded primary issued a certificate: %s", diff)
			}
		})
	}
}

// TestFirstCertificate uses a long status interval, so that only the retries before the first certificate can obtain
// one.
func TestFirstCertificate(t *testing.T) {
	b := newTestbedWithInterval(t, "managed", time.Hour)
	b.eventually(func() bool {
		for _, s := range b.owner.States() {
			if s.Age < 0 {
				return false
			}
		}
		return true
	})
}

// TestSlots runs many transactions at once. The endpoint must never get more than its slots, and each caller must get
// its own response.
func TestSlots(t *testing.T) {
	b := newTestbed(t, "managed")
	var wait sync.WaitGroup
	for n := range 60 {
		wait.Go(func() {
			key := fmt.Sprintf("k%d", n)
			if r := b.run(true, insertSQL(key)); r.GetFailure() != nil {
				t.Errorf("%s: %v", key, r.GetFailure())
			}
			if got := b.countRows(key); got != 1 {
				t.Errorf("%s has %d rows, want 1", key, got)
			}
		})
	}
	wait.Wait()
	state := b.group.States()[0]
	if state.Waits != 0 {
		t.Errorf("%d transactions found no free slot", state.Waits)
	}
	if state.MaxOpen > 20 {
		t.Errorf("%d connections, the limit is 20", state.MaxOpen)
	}
}

// TestCallerLeaves disconnects callers inside transactions. Their writes must not become visible to the next caller on
// the connection.
func TestCallerLeaves(t *testing.T) {
	b := newTestbed(t, "managed")
	for range 10 {
		s := b.open(0, &wire.Open{Write: true, Request: query("BEGIN")})
		if r := s.finalResponse(); r.GetStatus() != uint32(statusTransaction) {
			t.Fatalf("%+v", r)
		}
		s.sendQuery(insertSQL("left"))
		_ = s.stream.Close()
	}
	b.eventually(func() bool { return b.countRows("left") == 0 })
	if r := b.run(true, insertSQL("own")); r.GetFailure() != nil || r.GetStatus() != uint32(statusIdle) {
		t.Errorf("%+v", r)
	}
	if n := b.countRows("left"); n != 0 {
		t.Errorf("%d rows of disconnected callers are visible", n)
	}
}

// TestPrepared uses a statement prepared on one connection on other connections.
func TestPrepared(t *testing.T) {
	b := newTestbed(t, "managed")
	encode := func(all ...pgproto3.FrontendMessage) []byte { return encodeMessages(t, all...) }
	parse := encode(&pgproto3.Parse{Name: "s1", Query: "SELECT count(*) FROM t WHERE key = $1"})
	prepared := []*wire.Prepared{{Name: "s1", Parse: parse}}
	run := encode(&pgproto3.Bind{PreparedStatement: "s1", Parameters: [][]byte{[]byte("first")}}, &pgproto3.Execute{}, &pgproto3.Sync{})
	tests := map[string]struct {
		payload []byte
		want    string
	}{
		"parsed and executed":       {payload: append(append([]byte{}, parse...), run...), want: "12DCZ"},
		"executed without Parse":    {payload: run, want: "2DCZ"},
		"described without Parse":   {payload: encode(&pgproto3.Describe{ObjectType: 'S', Name: "s1"}, &pgproto3.Sync{}), want: "tTZ"},
		"closed and executed again": {payload: append(encode(&pgproto3.Close{ObjectType: 'S', Name: "s1"}), run...), want: "32DCZ"},
		"parse error, rest skipped": {payload: append(encode(&pgproto3.Parse{Name: "s2", Query: "nonsense"}), run...), want: "EZ"},
		"parsed and executed twice": {payload: append(append(append([]byte{}, parse...), parse...), append(run[:len(run)-5:len(run)-5], run...)...), want: "112DC2DCZ"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var wait sync.WaitGroup
			for range 6 {
				wait.Go(func() {
					r := b.open(0, &wire.Open{Request: &wire.Request{Payload: test.payload, Extended: true, Prepared: prepared, Ends: true}}).finalResponse()
					if diff := cmp.Diff(test.want, messageTypes(r.GetPayload())); diff != "" || r.GetFailure() != nil {
						t.Errorf("%v\n%s", r.GetFailure(), diff)
					}
				})
			}
			wait.Wait()
		})
	}
}

func encodeMessages(t *testing.T, all ...pgproto3.FrontendMessage) []byte {
	t.Helper()
	var out []byte
	for _, m := range all {
		data, err := m.Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, data...)
	}
	return out
}

// TestFlushedWrite sends a write with Flush and the Sync in a later request. The commit that the Sync causes must be
// confirmed too.
func TestFlushedWrite(t *testing.T) {
	b := newTestbed(t, "managed")
	for name, cut := range map[string]bool{"confirmed": false, "unconfirmed": true} {
		payload := encodeMessages(t, &pgproto3.Parse{Query: insertSQL(name)}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{})
		s := b.open(0, &wire.Open{Write: true, Deadline: 500_000, Request: &wire.Request{Payload: payload, Extended: true}})
		if r := s.finalResponse(); r.GetFailure() != nil || messageTypes(r.GetPayload()) != "12C" {
			t.Fatalf("%s: %v %s", name, r.GetFailure(), messageTypes(r.GetPayload()))
		}
		for _, at := range []int{1, 2} {
			b.setFaults(at, func(f *group.Faults) { f.CutPeers = cut })
		}
		request := &wire.Request{Payload: encodeMessages(t, &pgproto3.Sync{}), Extended: true, Ends: true}
		_ = s.stream.Send(&wire.Frame{Body: &wire.Frame_Request{Request: request}})
		r := s.finalResponse()
		if unconfirmed := r.GetFailure().GetReason() == string(verdict.Unconfirmed); unconfirmed != cut || !cut && r.GetPosition() == nil {
			t.Errorf("%s: failure %v, position %v", name, r.GetFailure(), r.GetPosition())
		}
		for _, at := range []int{1, 2} {
			b.setFaults(at, func(f *group.Faults) { f.CutPeers = false })
		}
		b.eventually(func() bool { return b.run(true, insertSQL("after-"+name)).GetFailure() == nil })
	}
}

// messageTypes returns the type bytes of the messages in a payload.
func messageTypes(payload []byte) string {
	out := ""
	for len(payload) > 0 {
		m, rest, err := message.Next(payload)
		if err != nil {
			return out + "?"
		}
		out += string(m.Type())
		payload = rest
	}
	return out
}
