package platform_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/platform"
	"siskincove/platform/aws"
	"siskincove/platform/dynamo"
	"siskincove/platform/http"
	"siskincove/platform/s3"
	standin "siskincove/standin/platform"
)

// services is one implementation of the platform's interfaces.
type services struct {
	table   platform.Table
	objects platform.Objects
	roster  platform.Roster
	set     func(platform.Instance)
}

// implementations returns the fake in memory and the real bindings over the served stand-in.
func implementations(t *testing.T) map[string]services {
	fake := standin.NewMemory()
	served := standin.NewMemory()
	server := httptest.NewServer(standin.NewServer(served, clock.System{}, 0).Handler())
	t.Cleanup(server.Close)
	client := aws.HTTPClient()
	o := aws.Options{URL: server.URL, Region: "local", Key: "k", Secret: "s"}
	return map[string]services{
		"memory": {table: fake, objects: fake.Objects(), roster: fake, set: fake.SetInstance},
		"bindings": {
			table: dynamo.New(aws.Table(o, client), "t"), objects: s3.New(aws.Objects(o, client), "b"),
			roster: http.New(client, server.URL+"/roster"), set: served.SetInstance,
		},
	}
}

func TestTableContract(t *testing.T) {
	for name, s := range implementations(t) {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			if _, err := s.table.Get(ctx, "k"); !errors.Is(err, platform.ErrAbsent) {
				t.Errorf("absent row: %v", err)
			}
			first := platform.Row{Key: "k", Revision: 1, Value: []byte("one"), Operation: "op1"}
			second := platform.Row{Key: "k", Revision: 2, Value: []byte{0, 255}, Operation: "op2"}
			steps := []struct {
				row      platform.Row
				expected uint64
				conflict bool
			}{{first, 1, true}, {first, 0, false}, {first, 0, true}, {second, 1, false}, {second, 1, true}}
			for n, step := range steps {
				err := s.table.Put(ctx, step.row, step.expected)
				if errors.Is(err, platform.ErrConflict) != step.conflict || (err != nil) != step.conflict {
					t.Errorf("step %d: %v", n, err)
				}
			}
			got, err := s.table.Get(ctx, "k")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(second, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestObjectsContract(t *testing.T) {
	for name, s := range implementations(t) {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			if _, err := s.objects.Get(ctx, "a/b"); !errors.Is(err, platform.ErrAbsent) {
				t.Errorf("absent object: %v", err)
			}
			data := []byte("some bytes \x00\xff")
			for range 2 {
				if err := s.objects.Put(ctx, "a/b", data); err != nil {
					t.Fatal(err)
				}
			}
			got, err := s.objects.Get(ctx, "a/b")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(data, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestRosterContract(t *testing.T) {
	for name, s := range implementations(t) {
		t.Run(name, func(t *testing.T) {
			want := platform.Instance{ID: "i0", Address: "127.0.0.1:1", Domain: "r/a", Leaving: true}
			s.set(want)
			got, err := s.roster.List(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]platform.Instance{want}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestUpdateSettles loses the answer to a write after its effect: it must be found to have succeeded, also by the real
// binding, which must not retry it into a conflict with itself.
func TestUpdateSettles(t *testing.T) {
	memory := standin.NewMemory()
	served := standin.NewServer(memory, clock.System{}, time.Hour)
	server := httptest.NewServer(served.Handler())
	defer server.Close()
	o := aws.Options{URL: server.URL, Region: "local", Key: "k", Secret: "s"}
	table := dynamo.New(aws.Table(o, aws.HTTPClient()), "t")
	served.SetFaults(standin.Faults{LosePuts: 1})
	row, err := platform.Update(context.Background(), table, "k", "op", func(platform.Row) ([]byte, error) { return []byte("v"), nil })
	if err != nil || row.Revision != 1 {
		t.Errorf("revision %d, error %v", row.Revision, err)
	}
	if diff := cmp.Diff(int64(1), served.Counts().Writes); diff != "" {
		t.Errorf("writes sent: %s", diff)
	}
	served.SetFaults(standin.Faults{Down: true})
	if _, err := platform.Update(context.Background(), table, "k", "op2", func(platform.Row) ([]byte, error) { return nil, nil }); err == nil || errors.Is(err, platform.ErrConflict) {
		t.Errorf("platform down: %v", err)
	}
}
