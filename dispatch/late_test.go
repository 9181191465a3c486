package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/database"
	"siskincove/document"
	"siskincove/event"
	"siskincove/statement"
)

// TestLateAnswer checks that an answer is logged as late, with its database, only if it took longer than the target latency of
// the route.
func TestLateAnswer(t *testing.T) {
	const target = 100 * time.Millisecond
	for name, test := range map[string]struct {
		took time.Duration
		want map[string]any
	}{
		"in time":     {target, map[string]any{"database": nil, "late": nil}},
		"too late":    {target + time.Millisecond, map[string]any{"database": "db", "late": true}},
		"much faster": {0, map[string]any{"database": nil, "late": nil}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := make(map[string]any)
				logger := event.NewLogger(log.HandlerFunc(func(e *log.Entry) error {
					if e.Fields["event"] == event.RequestServed.Number {
						got["database"], got["late"] = e.Fields["database"], e.Fields["late"]
					}
					return nil
				}), log.InfoLevel, clock.System{})
				slow := func(steps []statement.Step) ([]statement.Answer, error) {
					time.Sleep(test.took)
					return succeed(steps)
				}
				set := catalog().Set
				set.Limits = []config.Limit{{Name: "l", Deadline: document.Duration(time.Second), TargetLatency: document.Duration(target)}}
				c := config.NewCatalog(set)
				ctx, cancel := context.WithCancel(context.Background())
				registry := database.NewRegistry(database.Options{
					Dialer: &endpoints{scripts: map[string][]script{"p": {slow}}}, Clock: clock.System{}, Logger: logger,
					DrainTime: func() time.Duration { return time.Minute },
				})
				registry.Configure(c, map[string]string{"db": "p"}, 1)
				d := New(ctx, Options{Domain: "north/a", Catalogs: catalogs{c}, Databases: registry, Clock: clock.System{}, Logger: logger})
				s, refused := d.Open(ctx, statement.StartupParameters{Database: "main"})
				if refused != nil {
					t.Fatal(refused)
				}
				s.Run(ctx, write("1"))
				cancel()
				<-d.Done()
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}
