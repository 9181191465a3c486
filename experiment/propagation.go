package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// Propagation measures the time from the publication of a configuration until every instance uses it.
type Propagation struct {
	Deployment Deployment
	Instances  int
	Changes    int
}

// Run prints the median and the worst time of all publications.
func (f Propagation) Run(ctx context.Context, w io.Writer) error {
	s, err := Start(ctx, f.Deployment, DefaultSettings, f.Instances)
	if err != nil {
		return err
	}
	defer s.Close()
	var times []time.Duration
	for n := range f.Changes {
		pause(ctx, time.Duration(300+137*n%700)*time.Millisecond)
		v := DefaultSettings
		v.Age = time.Duration(n+2) * time.Minute
		if err := s.Publish(v); err != nil {
			return err
		}
		took, err := f.awaitRevision(ctx, s)
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	_, err = fmt.Fprintf(w, "%s, %d instances, %d changes: in use on all instances after a median of %.0f ms, worst %.0f ms\n",
		f.Deployment.Name, f.Instances, len(times), milliseconds(quantile(times, 0.5)), milliseconds(quantile(times, 1)))
	return errors.Wrap(err, "write output")
}

const revisionPoll = 10 * time.Millisecond

// awaitRevision waits until every instance has the published revision, and returns the time since it was called, which is
// when the publishing tool has exited.
func (f Propagation) awaitRevision(ctx context.Context, s *RunningDeployment) (time.Duration, error) {
	started := time.Now()
	for {
		missing := 0
		for _, i := range s.Instances {
			if status, err := i.Status(); err != nil || status.Revision < s.revision {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(started), nil
		}
		if time.Since(started) > waitTimeout || ctx.Err() != nil {
			return 0, errors.Newf("%d instances do not have revision %d", missing, s.revision)
		}
		pause(ctx, revisionPoll)
	}
}
