package experiment

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"

	"siskincove/load"
)

// Commits measures the write throughput of sessions that write to one database without pauses.
type Commits struct {
	Deployment Deployment
	Instances  int
	Sessions   int
	Duration   time.Duration
}

// Run prints the number of acknowledged writes per second.
func (f Commits) Run(ctx context.Context, w io.Writer) error {
	s, err := Start(ctx, f.Deployment, DefaultSettings, f.Instances)
	if err != nil {
		return err
	}
	defer s.Close()
	pause(ctx, startPause)
	ctx, cancel := context.WithTimeout(ctx, f.Duration)
	defer cancel()
	var done, failed atomic.Int64
	var sessions sync.WaitGroup
	for n := range f.Sessions {
		sessions.Go(func() { f.writeUntilDone(ctx, s, n, &done, &failed) })
	}
	sessions.Wait()
	_, err = fmt.Fprintf(w, "%s, %d instances, %d sessions writing to one database for %s: %.0f acknowledged writes/s, %d refused\n",
		f.Deployment.Name, f.Instances, f.Sessions, f.Duration, float64(done.Load())/f.Duration.Seconds(), failed.Load())
	return errors.Wrap(err, "write output")
}

func (f Commits) writeUntilDone(ctx context.Context, s *RunningDeployment, n int, done, failed *atomic.Int64) {
	address := s.Callers()[n%len(s.Callers())]
	conn, err := pgx.Connect(ctx, load.URL(address, callerName, password, s.deployment.Service+"/"+s.deployment.Databases[0]))
	if err != nil {
		failed.Add(1)
		return
	}
	defer func() { _ = conn.Close(context.WithoutCancel(ctx)) }()
	for ctx.Err() == nil && !conn.IsClosed() {
		_, err := conn.Exec(ctx, "INSERT INTO records (key, value) VALUES ($1, 'x')", fmt.Sprintf("c%d", n))
		switch {
		case err == nil:
			done.Add(1)
		case ctx.Err() == nil:
			failed.Add(1)
		}
	}
}
