package simulation

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
)

// TestRestart answers the pattern of instances that all start at once before callers who come back: none has a proof of the
// lead yet, which reads need before replicas may serve them. The primary gets no more of the reads than its share of the
// slots, since one read of each instance fetches the proof for the others.
func TestRestart(t *testing.T) {
	const each = 10
	read := Class{Name: "lookup", Route: "history", MeanWorkMS: 11, Target: classes[1].Target, CallerTimeout: classes[1].CallerTimeout}
	synctest.Test(t, func(t *testing.T) {
		g := newGroup()
		ctx, cancel := context.WithCancel(context.Background())
		current := NewProxy(ctx, g, instances, connections, catalogOf(g, connections, []Class{read}))
		var running sync.WaitGroup
		for n := range instances * each {
			running.Go(func() {
				served, _ := current.Serve(ctx, n%instances, Request{ID: fmt.Sprint(n), Class: read})
				if !served {
					t.Errorf("read %d was not served", n)
				}
			})
		}
		running.Wait()
		cancel()
		current.Wait()
		synctest.Wait()
		if got, most := g.Primary().Arrivals, instances*each/len(g.Endpoints); got > most {
			t.Errorf("%d of %d reads came to the primary, its share is %d", got, instances*each, most)
		}
	})
}
