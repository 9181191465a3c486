package entry

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"siskincove/config"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/verdict"
)

const (
	// blueWorkspace makes the caller of objects one of the workspace blue.
	blueWorkspace = "workspace = \"blue\"\n[[workspace]]\nname = \"blue\"\nrate = 1\nburst = 3\n"
	redWorkspace  = "[[workspace]]\nname = \"red\"\nrate = 1\nburst = 3\n"
)

// fixedAllotments admit a number of operations and record the workspaces that asked.
type fixedAllotments struct {
	mu    sync.Mutex
	left  int
	taken []string
}

func (f *fixedAllotments) Take(_ context.Context, w config.Workspace, _ time.Time) *verdict.Error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taken = append(f.taken, w.Name)
	if f.left--; f.left < 0 {
		return verdict.New(verdict.NotRun, verdict.Allotment, "workspace %s has used its allotment", w.Name).WithRetryAfter(1500 * time.Millisecond)
	}
	return nil
}

// transactionOwner answers BEGIN and what follows, and records the statements.
func transactionOwner(t *testing.T) func(*wire.Open, peer.Stream) {
	begun := encodeMessages(t, &pgproto3.CommandComplete{CommandTag: []byte("BEGIN")}, &pgproto3.ReadyForQuery{TxStatus: 'T'})
	ended := encodeMessages(t, &pgproto3.CommandComplete{CommandTag: []byte("COMMIT")}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	return func(open *wire.Open, stream peer.Stream) {
		request := open.GetRequest()
		for {
			payload, status := begun, uint32('T')
			last := request.GetEnds()
			if last {
				payload, status = ended, 'I'
			}
			if stream.Send(&wire.Frame{Body: &wire.Frame_Response{Response: &wire.Response{
				Payload: payload, Last: true, Status: status, Position: &wire.Position{Term: 1, Offset: 9},
			}}}) != nil || last {
				return
			}
			next, err := stream.Receive()
			if err != nil {
				return
			}
			request = next.GetRequest()
		}
	}
}

// TestAllotment checks that an operation is a transaction or a statement outside one, that a request beyond the allotment is
// refused before it reaches an endpoint, and that the caller learns when to come back.
func TestAllotment(t *testing.T) {
	var catalogs currentCatalog
	catalogs.Store(parseObjects(t, objects+blueWorkspace))
	allotments := &fixedAllotments{left: 2}
	_, address := startServerWith(t, &fakeOwners{serve: transactionOwner(t)}, &catalogs, allotments)
	conn := connect(t, address, "certstore")
	ctx := context.Background()
	for _, sql := range []string{"BEGIN", "INSERT 1", "SELECT 2", "COMMIT", "SET jit = off", "SELECT 3"} {
		if _, err := conn.Exec(ctx, sql); err != nil {
			t.Fatalf("%s: %v", sql, err)
		}
	}
	for _, sql := range []string{"SELECT 4", "BEGIN"} {
		_, err := conn.Exec(ctx, sql)
		var refused *pgconn.PgError
		if !errors.As(err, &refused) {
			t.Fatalf("%s: %v", sql, err)
		}
		if diff := cmp.Diff([]string{"53400", "retry in 1.5s"}, []string{refused.Code, refused.Hint}); diff != "" {
			t.Error(diff)
		}
		if !strings.Contains(refused.Detail, "reason=allotment retry_after_ms=1500") {
			t.Errorf("detail %s", refused.Detail)
		}
	}
	if diff := cmp.Diff([]string{"blue", "blue", "blue", "blue"}, allotments.taken); diff != "" {
		t.Error(diff)
	}
}

// TestCallerWithdrawn guards against sessions that outlive their caller's declaration, also inside a transaction.
func TestCallerWithdrawn(t *testing.T) {
	const ended = `28000 verdict="not run" reason=unauthorized retry_after_ms=0`
	tests := map[string]struct {
		before, after string
		begin         bool
		want          string
	}{
		"caller kept":                     {before: objects + blueWorkspace, after: objects + blueWorkspace + redWorkspace},
		"caller removed":                  {before: objects + blueWorkspace, after: strings.Replace(objects+redWorkspace, "anna", "bert", 1), want: ended},
		"caller removed in a transaction": {before: objects + blueWorkspace, after: strings.Replace(objects+redWorkspace, "anna", "bert", 1), begin: true, want: ended},
		"caller moved":                    {before: objects + blueWorkspace, after: objects + "workspace = \"red\"\n" + redWorkspace},
		"no workspaces":                   {before: objects, after: strings.Replace(objects, "anna", "bert", 1)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var catalogs currentCatalog
			catalogs.Store(parseObjects(t, test.before))
			serve := answerRequests(t)
			if test.begin {
				serve = transactionOwner(t)
			}
			_, address := startServerWith(t, &fakeOwners{serve: serve}, &catalogs, nil)
			conn := connect(t, address, "certstore")
			ctx := context.Background()
			if test.begin {
				if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
					t.Fatal(err)
				}
			}
			catalogs.Store(parseObjects(t, test.after))
			_, err := conn.Exec(ctx, "SELECT 1")
			got := ""
			var refused *pgconn.PgError
			if errors.As(err, &refused) {
				got = refused.Code + " " + refused.Detail
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("%s (%v)", diff, err)
			}
			if closed := conn.Ping(ctx) != nil; closed != (test.want != "") {
				t.Errorf("session closed: %t", closed)
			}
		})
	}
}

// TestEndWithdrawn guards against idle sessions that outlive their caller's declaration, which inside a transaction would hold
// a slot of an endpoint for a minute.
func TestEndWithdrawn(t *testing.T) {
	for name, sql := range map[string]string{"idle": "SELECT 1", "in a transaction": "BEGIN"} {
		t.Run(name, func(t *testing.T) {
			var catalogs currentCatalog
			catalogs.Store(parseObjects(t, objects+blueWorkspace))
			ended := make(chan struct{})
			serve := answerRequests(t)
			if sql == "BEGIN" {
				answer := transactionOwner(t)
				serve = func(open *wire.Open, stream peer.Stream) {
					answer(open, stream)
					close(ended)
				}
			}
			s, address := startServerWith(t, &fakeOwners{serve: serve}, &catalogs, nil)
			conn := connect(t, address, "certstore")
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			if _, err := conn.Exec(ctx, sql); err != nil {
				t.Fatal(err)
			}
			s.EndWithdrawn()
			catalogs.Store(parseObjects(t, strings.Replace(objects+redWorkspace, "anna", "bert", 1)))
			s.EndWithdrawn()
			for s.Sessions() > 0 && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			if ctx.Err() != nil {
				t.Fatal("session goes on")
			}
			if sql == "BEGIN" {
				<-ended
			}
		})
	}
}
