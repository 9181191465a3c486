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

// one is an instance that owns every endpoint, reached without a network.
type one struct {
	owner *Owner
}

func (o *one) Owner(config.Endpoint) (string, bool) { return "here", true }

func (o *one) Owns(config.Endpoint) bool { return true }

func (o *one) MayOwn(config.Endpoint) bool { return true }

func (o *one) Concerns(string, string) bool { return true }

func (o *one) Open(ctx context.Context, _ string) (peer.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	near, far := peer.Pipe(ctx)
	go func() {
		defer cancel()
		first, err := far.Receive()
		if err == nil {
			o.owner.Serve(ctx, first, far)
		}
		_ = far.Close()
	}()
	return near, nil
}

const testSlots = 3

// bench is a group with an owner of all its endpoints.
type bench struct {
	t       *testing.T
	group   *group.Group
	members []config.Endpoint
	client  *Client
	owner   *Owner
}

func begin(t *testing.T, vendor string) *bench {
	t.Helper()
	return beginEach(t, vendor, 20*time.Millisecond)
}

// beginEach starts a group whose owner asks for statuses at an interval.
func beginEach(t *testing.T, vendor string, interval time.Duration) *bench {
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
	all := &one{}
	client := NewClient(all, all)
	all.owner = NewOwner(ctx, OwnerOptions{
		Interval: interval, Clock: clock.System{}, Logger: event.Discard(), Client: client, Ownership: all,
		Vendors: []endpoint.Vendor{managed.Vendor{}, postgres.Vendor{}},
	})
	all.owner.Configure(config.NewCatalog(set))
	b := &bench{t: t, group: g, members: config.NewCatalog(set).Members("d"), client: client, owner: all.owner}
	t.Cleanup(func() {
		_ = all.owner.Leave(ctx)
		cancel()
		<-g.Done()
	})
	b.eventually(func() bool {
		return b.run(true, "INSERT INTO t (key, value) VALUES ('first', 'x')").GetFailure() == nil
	})
	return b
}

func (b *bench) eventually(condition func() bool) {
	b.t.Helper()
	limit := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(limit) {
			b.t.Fatal("condition did not come about")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func query(sql string) *wire.Request {
	return &wire.Request{Payload: message.New(message.Query, append([]byte(sql), 0)), Ends: !strings.HasPrefix(sql, "BEGIN")}
}

// exchange is a stream to the owner of an endpoint.
type exchange struct {
	b      *bench
	stream peer.Stream
}

func (b *bench) open(at int, o *wire.Open) *exchange {
	b.t.Helper()
	stream, err := b.client.Open(context.Background(), b.members[at])
	if err != nil {
		b.t.Error(err)
		return nil
	}
	o.Endpoint, o.Route, o.Patience = b.members[at].Name, "r", 100_000
	if o.GetDeadline() == 0 {
		o.Deadline = 5_000_000
	}
	_ = stream.Send(&wire.Frame{Body: &wire.Frame_Open{Open: o}})
	return &exchange{b: b, stream: stream}
}

// last returns the last response to a request, with the payload of all parts.
func (s *exchange) last() *wire.Response {
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

func (s *exchange) next(sql string) *wire.Response {
	_ = s.stream.Send(&wire.Frame{Body: &wire.Frame_Request{Request: query(sql)}})
	return s.last()
}

// run runs one statement at the first endpoint.
func (b *bench) run(write bool, sql string) *wire.Response {
	b.t.Helper()
	return b.open(0, &wire.Open{Write: write, Request: query(sql)}).last()
}

func (b *bench) fault(at int, edit func(*group.Faults)) {
	b.group.Members()[at].SetFaults(func(f group.Faults) group.Faults {
		edit(&f)
		return f
	})
}

func (b *bench) rows(key string) int {
	b.t.Helper()
	row, err := firstRow(b.run(false, "SELECT count(*) FROM t WHERE key = '"+key+"'").GetPayload())
	if err != nil {
		b.t.Fatal(err)
	}
	return int(row[0][0] - '0')
}

func insert(key string) string { return "INSERT INTO t (key, value) VALUES ('" + key + "', 'v')" }

func reasonOf(r *wire.Response) string {
	return verdict.Verdict(r.GetFailure().GetVerdict()).String() + ": " + r.GetFailure().GetReason()
}

// TestOutcomes induces a fault around one write and gives the verdict and how often the write may be there.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		before func(*bench)
		open   *wire.Open
		sql    string
		want   string
		ran    []int
	}{
		"write": {sql: insert("k"), open: &wire.Open{Write: true}, want: "may have run: ", ran: []int{1}},
		"answer of the commit lost": {
			before: func(b *bench) { b.fault(0, func(f *group.Faults) { f.LoseCommit = true }) },
			sql:    insert("k"), open: &wire.Open{Write: true}, want: "may have run: broken", ran: []int{0, 1},
		},
		"write sent as a read": {sql: insert("k"), open: &wire.Open{}, want: "not run: readonly", ran: []int{0}},
		"no replica can confirm": {
			before: func(b *bench) {
				b.fault(1, func(f *group.Faults) { f.CutPeers = true })
				b.fault(2, func(f *group.Faults) { f.CutPeers = true })
				time.Sleep((confirmableRounds + 1) * certifyInterval)
			},
			sql: insert("k"), open: &wire.Open{Write: true}, want: "not run: unconfirmable", ran: []int{0},
		},
		"replicas lost during the commit": {
			before: func(b *bench) {
				b.fault(1, func(f *group.Faults) { f.CutPeers = true })
				b.fault(2, func(f *group.Faults) { f.CutPeers = true })
			},
			sql: insert("k"), open: &wire.Open{Write: true, Deadline: 300_000}, want: "may have run: unconfirmed", ran: []int{0, 1},
		},
		"token not reached": {
			sql: "SELECT value FROM t WHERE key = 'k'", open: &wire.Open{Token: &wire.Position{Term: 1, Offset: 1000}}, want: "not run: stale", ran: []int{0},
		},
		"age not known": {
			before: func(b *bench) { b.fault(0, func(f *group.Faults) { f.CutCallers = true }) },
			sql:    "SELECT value FROM t WHERE key = 'k'", open: &wire.Open{Age: 1}, want: "not run: unreachable|not run: stale", ran: []int{0},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := begin(t, "managed")
			if test.before != nil {
				test.before(b)
			}
			test.open.Request = query(test.sql)
			got := reasonOf(b.open(0, test.open).last())
			if !strings.Contains("|"+test.want+"|", "|"+got+"|") {
				t.Errorf("outcome %q, want %q", got, test.want)
			}
			b.group.Members()[0].SetFaults(func(group.Faults) group.Faults { return group.Faults{} })
			n := b.rows("k")
			if n != test.ran[0] && n != test.ran[len(test.ran)-1] {
				t.Errorf("the write is there %d times, want %v", n, test.ran)
			}
		})
	}
}

// TestSuperseded fences both replicas under a higher term: the old primary acknowledges nothing more, tells its waiting
// callers at once, and its certificates end.
func TestSuperseded(t *testing.T) {
	for _, vendor := range []string{"managed", "postgres"} {
		t.Run(vendor, func(t *testing.T) {
			b := begin(t, vendor)
			p, err := b.owner.find("e0")
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
			got := reasonOf(b.run(true, insert("k")))
			if got != "may have run: unconfirmed" && got != "may have run: broken" && got != "not run: notprimary" {
				t.Errorf("outcome %q", got)
			}
			if took := time.Since(started); took > 3*time.Second {
				t.Errorf("the caller was held for %s", took)
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

// TestFirstCertificate asks for statuses so rarely that only the tries before the first certificate can bring one.
func TestFirstCertificate(t *testing.T) {
	b := beginEach(t, "managed", time.Hour)
	b.eventually(func() bool {
		for _, s := range b.owner.States() {
			if s.Age < 0 {
				return false
			}
		}
		return true
	})
}

// TestSlots offers many transactions at once: the endpoint never finds more than its slots, and each gets its own answer.
func TestSlots(t *testing.T) {
	b := begin(t, "managed")
	var wait sync.WaitGroup
	for n := range 60 {
		wait.Go(func() {
			key := fmt.Sprintf("k%d", n)
			if r := b.run(true, insert(key)); r.GetFailure() != nil {
				t.Errorf("%s: %v", key, r.GetFailure())
			}
			if got := b.rows(key); got != 1 {
				t.Errorf("%s is there %d times", key, got)
			}
		})
	}
	wait.Wait()
	state := b.group.States()[0]
	if state.Waits != 0 {
		t.Errorf("%d transactions found every slot taken", state.Waits)
	}
	if state.Most > 20 {
		t.Errorf("%d connections, the limit is 20", state.Most)
	}
}

// TestCallerLeaves lets callers die inside transactions: nothing of theirs shows to the next on the connection.
func TestCallerLeaves(t *testing.T) {
	b := begin(t, "managed")
	for range 10 {
		s := b.open(0, &wire.Open{Write: true, Request: query("BEGIN")})
		if r := s.last(); r.GetStatus() != uint32(statusTransaction) {
			t.Fatalf("%+v", r)
		}
		s.next(insert("left"))
		_ = s.stream.Close()
	}
	b.eventually(func() bool { return b.rows("left") == 0 })
	if r := b.run(true, insert("own")); r.GetFailure() != nil || r.GetStatus() != uint32(statusIdle) {
		t.Errorf("%+v", r)
	}
	if n := b.rows("left"); n != 0 {
		t.Errorf("%d rows of callers that left are there", n)
	}
}

// TestPrepared runs a statement that was parsed on one connection on others.
func TestPrepared(t *testing.T) {
	b := begin(t, "managed")
	encode := func(all ...pgproto3.FrontendMessage) []byte { return encoded(t, all...) }
	parse := encode(&pgproto3.Parse{Name: "s1", Query: "SELECT count(*) FROM t WHERE key = $1"})
	prepared := []*wire.Prepared{{Name: "s1", Parse: parse}}
	run := encode(&pgproto3.Bind{PreparedStatement: "s1", Parameters: [][]byte{[]byte("first")}}, &pgproto3.Execute{}, &pgproto3.Sync{})
	tests := map[string]struct {
		payload []byte
		want    string
	}{
		"parsed and run":          {payload: append(append([]byte{}, parse...), run...), want: "12DCZ"},
		"run alone":               {payload: run, want: "2DCZ"},
		"described alone":         {payload: encode(&pgproto3.Describe{ObjectType: 'S', Name: "s1"}, &pgproto3.Sync{}), want: "tTZ"},
		"closed and run again":    {payload: append(encode(&pgproto3.Close{ObjectType: 'S', Name: "s1"}), run...), want: "32DCZ"},
		"wrong, then skipped":     {payload: append(encode(&pgproto3.Parse{Name: "s2", Query: "nonsense"}), run...), want: "EZ"},
		"parsed twice, run twice": {payload: append(append(append([]byte{}, parse...), parse...), append(run[:len(run)-5:len(run)-5], run...)...), want: "112DC2DCZ"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var wait sync.WaitGroup
			for range 6 {
				wait.Go(func() {
					r := b.open(0, &wire.Open{Request: &wire.Request{Payload: test.payload, Extended: true, Prepared: prepared, Ends: true}}).last()
					if diff := cmp.Diff(test.want, types(r.GetPayload())); diff != "" || r.GetFailure() != nil {
						t.Errorf("%v\n%s", r.GetFailure(), diff)
					}
				})
			}
			wait.Wait()
		})
	}
}

func encoded(t *testing.T, all ...pgproto3.FrontendMessage) []byte {
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

// TestFlushedWrite sends a write with Flush and its Sync later: the commit that comes with the Sync is confirmed too.
func TestFlushedWrite(t *testing.T) {
	b := begin(t, "managed")
	for name, cut := range map[string]bool{"confirmed": false, "unconfirmed": true} {
		payload := encoded(t, &pgproto3.Parse{Query: insert(name)}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{})
		s := b.open(0, &wire.Open{Write: true, Deadline: 500_000, Request: &wire.Request{Payload: payload, Extended: true}})
		if r := s.last(); r.GetFailure() != nil || types(r.GetPayload()) != "12C" {
			t.Fatalf("%s: %v %s", name, r.GetFailure(), types(r.GetPayload()))
		}
		for _, at := range []int{1, 2} {
			b.fault(at, func(f *group.Faults) { f.CutPeers = cut })
		}
		request := &wire.Request{Payload: encoded(t, &pgproto3.Sync{}), Extended: true, Ends: true}
		_ = s.stream.Send(&wire.Frame{Body: &wire.Frame_Request{Request: request}})
		r := s.last()
		if unconfirmed := r.GetFailure().GetReason() == string(verdict.Unconfirmed); unconfirmed != cut || !cut && r.GetPosition() == nil {
			t.Errorf("%s: failure %v, position %v", name, r.GetFailure(), r.GetPosition())
		}
		for _, at := range []int{1, 2} {
			b.fault(at, func(f *group.Faults) { f.CutPeers = false })
		}
		b.eventually(func() bool { return b.run(true, insert("after-"+name)).GetFailure() == nil })
	}
}

// types returns the first bytes of the messages in a payload.
func types(payload []byte) string {
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
