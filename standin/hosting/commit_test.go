package hosting

import (
	"bufio"
	"maps"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRefusedCommitIsNotKept guards against a commit that was answered READONLY, which promises that it did not run, and that came back
// when the endpoint was promoted again (soak seed 2, 12 instances, 20 s).
func TestRefusedCommitIsNotKept(t *testing.T) {
	store, err := NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	g, err := NewGroup(store, Options{
		Name: "g", Zones: []string{"a", "b", "c"}, SyncReplicas: 1, Slots: 5, Connections: 60, PromotionDelay: 10 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	primary := g.Primary()
	dial := func() *Caller {
		c, err := Dial(primary.address, "g")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		return c
	}
	writer, admin := dial(), dial()
	if r, err := writer.Query("kept", "WRITE x 1"); err != nil || r.Code != "" {
		t.Fatalf("%+v, %v", r, err)
	}
	for _, e := range g.Members() {
		e.SetReceiveBlocked(e != primary)
	}
	answered := make(chan Result, 1)
	go func() {
		r, _ := writer.Query("refused", "WRITE x 2")
		answered <- r
	}()
	// The commit waits for a replica until its primary has lost the lead.
	time.Sleep(50 * time.Millisecond)
	if r, err := admin.Query("-", "DEMOTE 100"); err != nil || r.Code != "" {
		t.Fatalf("%+v, %v", r, err)
	}
	if r := <-answered; r.Code != "READONLY" {
		t.Fatalf("answer to the commit: %+v", r)
	}
	g.promote(primary.id)
	for end := time.Now().Add(5 * time.Second); g.Primary() == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("endpoint was not promoted again")
		}
	}
	var requests []string
	for _, record := range g.Log() {
		requests = slices.Concat(requests, record.Requests)
	}
	if diff := cmp.Diff([]string{"kept"}, requests); diff != "" {
		t.Error(diff)
	}
}

// TestConnectionEndsWithCrash guards against a connection that was accepted just before an endpoint's crash, outlived it and had the number
// of a connection of the restarted endpoint, so that the history check took two transactions for one (soak seed 104, 9 instances).
func TestConnectionEndsWithCrash(t *testing.T) {
	store, err := NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	g, err := NewGroup(store, Options{Name: "g", Zones: []string{"a"}, Slots: 5, Connections: 60})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	e := g.Members()[0]
	early, err := net.Dial("tcp", e.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = early.Close() })
	time.Sleep(20 * time.Millisecond)
	e.Crash()
	if err := e.Restart(); err != nil {
		t.Fatal(err)
	}
	_, _ = early.Write([]byte("START g u\r\n"))
	_ = early.SetReadDeadline(time.Now().Add(5 * time.Second))
	if line, err := bufio.NewReader(early).ReadString('\n'); err == nil {
		t.Errorf("answer on a connection from before the crash: %q", line)
	}
}

// TestDepartedEndpointStaysGone guards against an endpoint that departed after its crash, was restarted and registered again by the fault
// that had crashed it, and of which every promotion was refused since the group no longer knew it (soak seed 402, 4 instances, 30 s).
func TestDepartedEndpointStaysGone(t *testing.T) {
	store, err := NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	g, err := NewGroup(store, Options{Name: "g", Zones: []string{"a", "b"}, Slots: 5, Connections: 60})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	departed := g.Members()[1]
	t.Cleanup(departed.Crash)
	departed.Crash()
	if !g.Depart(departed) {
		t.Fatal("the replica leads")
	}
	if err := departed.Restart(); err != nil {
		t.Fatal(err)
	}
	departed.Return()
	registered := slices.Sorted(maps.Keys(store.Rows("servers")))
	if diff := cmp.Diff([]string{"i-g-0"}, registered); diff != "" {
		t.Error(diff)
	}
	if conn, err := net.Dial("tcp", departed.address); err == nil {
		_ = conn.Close()
		t.Error("the departed endpoint accepts connections")
	}
}

// TestLastCopyStays guards against a soak that no program can pass: while nobody led, both endpoints that had the last acknowledged commits
// departed for good, one after the other (soak seed 402, 4 instances, 30 s).
func TestLastCopyStays(t *testing.T) {
	store, err := NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	g, err := NewGroup(store, Options{Name: "g", Zones: []string{"a", "b", "c"}, SyncReplicas: 1, Slots: 5, Connections: 60})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	members := g.Members()
	primary, holder, behind := members[0], members[1], members[2]
	behind.SetReceiveBlocked(true)
	c, err := Dial(primary.address, "g")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	for _, text := range []string{"WRITE x 1", "DEMOTE 100"} {
		if r, err := c.Query("-", text); err != nil || r.Code != "" {
			t.Fatalf("%s: %+v, %v", text, r, err)
		}
	}
	if g.Primary() != nil {
		t.Fatal("an endpoint leads")
	}
	if !g.Depart(primary) {
		t.Error("the former primary did not depart, though a replica has its commits")
	}
	if g.Depart(holder) {
		t.Error("the last endpoint with the acknowledged commit departed")
	}
	if !g.Depart(behind) {
		t.Error("a replica without the commit did not depart")
	}
}
