package proof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/standin/cluster"
)

// revisionWatch polls the revisions of all instances and records every decrease, also across a restart.
type revisionWatch struct {
	cluster   *cluster.Cluster
	highest   map[string]uint64
	decreases []string
	stop      chan struct{}
	done      chan struct{}
}

func watchRevisions(c *cluster.Cluster) *revisionWatch {
	r := &revisionWatch{cluster: c, highest: map[string]uint64{}, stop: make(chan struct{}), done: make(chan struct{})}
	go r.run()
	return r
}

func (r *revisionWatch) run() {
	defer close(r.done)
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(20 * time.Millisecond):
			r.poll()
		}
	}
}

func (r *revisionWatch) poll() {
	for _, i := range r.cluster.Instances {
		s, err := i.Status()
		if err != nil || !s.Ready {
			continue
		}
		if s.Revision < r.highest[i.ID] {
			r.decreases = append(r.decreases, fmt.Sprintf("%s from %d to %d", i.ID, r.highest[i.ID], s.Revision))
		}
		r.highest[i.ID] = max(r.highest[i.ID], s.Revision)
	}
}

func (r *revisionWatch) stopAndCheck(t *testing.T) {
	t.Helper()
	close(r.stop)
	<-r.done
	if len(r.decreases) > 0 {
		t.Errorf("revisions decreased: %v", r.decreases)
	}
}

func waitRevision(t *testing.T, c *cluster.Cluster, revision uint64) time.Duration {
	t.Helper()
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := c.WaitReady(ctx, revision); err != nil {
		t.Fatal(err)
	}
	return time.Since(started)
}

// TestConcurrentPublish publishes from several operators at once while the store loses answers to commits: every instance
// serves the last accepted revision, and each operator learns whether the publication was accepted.
func TestConcurrentPublish(t *testing.T) {
	c := startCluster(t, nil, cluster.Objects{})
	watch := watchRevisions(c)
	text, err := c.ObjectsTOML(cluster.Objects{Service: service, Caller: caller, Password: password})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Publish(text); err != nil {
		t.Fatal(err)
	}
	if err := c.StoreFault("losecommits", "3"); err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	accepted, refused := 0, 0
	var wait sync.WaitGroup
	for range 6 {
		wait.Go(func() {
			out, err := c.Publish(text)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				accepted++
			case strings.Contains(out, "version conflict") || strings.Contains(out, "in force"):
				refused++
			default:
				t.Errorf("publish neither succeeded nor was refused: %v", err)
			}
		})
	}
	wait.Wait()
	want := uint64(2 + accepted)
	t.Logf("%d accepted, %d refused, in force everywhere after %s", accepted, refused, waitRevision(t, c, want))
	watch.stopAndCheck(t)
	for _, i := range c.Instances {
		if s, err := i.Status(); err != nil || s.Revision != want {
			t.Errorf("%s serves revision %d, want %d (%v)", i.ID, s.Revision, want, err)
		}
	}
}

// TestRestartInStoreOutage restarts instances one by one while the store is down: each serves the revision of its peers
// again.
func TestRestartInStoreOutage(t *testing.T) {
	c := startCluster(t, nil, cluster.Objects{})
	publish(t, c, cluster.Objects{Age: 2 * time.Minute})
	waitRevision(t, c, 2)
	watch := watchRevisions(c)
	if err := c.StoreFault("down", "true"); err != nil {
		t.Fatal(err)
	}
	for n := range c.Instances {
		c.Instances[n].Process.Kill()
		if err := c.StartInstance(n); err != nil {
			t.Fatal(err)
		}
		if !eventually(func() bool { return servesRevision(c, n, 2) }) {
			t.Errorf("%s is not ready again during the store outage", c.Instances[n].ID)
		}
	}
	watch.stopAndCheck(t)
	if _, err := connect(t, c, 0, "").Exec(boundedContext(t), "INSERT INTO signoffs (key, value) VALUES ('k', 'v')"); err != nil {
		t.Errorf("write during the store outage: %v", err)
	}
}

// TestRestartOfAllInStoreOutage restarts all instances at once while the store is down: none becomes ready without a
// revision, and all serve the accepted revision once the store is back.
func TestRestartOfAllInStoreOutage(t *testing.T) {
	c := startCluster(t, nil, cluster.Objects{})
	publish(t, c, cluster.Objects{Age: 2 * time.Minute})
	waitRevision(t, c, 2)
	if err := c.StoreFault("down", "true"); err != nil {
		t.Fatal(err)
	}
	for _, i := range c.Instances {
		i.Process.Kill()
	}
	for n := range c.Instances {
		if err := c.StartInstance(n); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(2500 * time.Millisecond)
	for n, i := range c.Instances {
		if servesRevision(c, n, 0) {
			t.Errorf("%s is ready without a revision", i.ID)
		}
	}
	if err := c.StoreFault("down", "false"); err != nil {
		t.Fatal(err)
	}
	waitRevision(t, c, 2)
}

func servesRevision(c *cluster.Cluster, n int, revision uint64) bool {
	s, err := c.Instances[n].Status()
	return err == nil && s.Ready && s.Revision >= revision
}

// TestTool checks the output and the exit codes of the operators' commands.
func TestTool(t *testing.T) {
	c := startCluster(t, nil, cluster.Objects{})
	text, err := c.ObjectsTOML(cluster.Objects{Service: service, Caller: caller, Password: password, Age: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	file := t.TempDir() + "/objects.toml"
	writeFile(t, file, text)
	invalid := t.TempDir() + "/broken.toml"
	writeFile(t, invalid, strings.Replace(text, `limit = "history"`, `limit = "nothing"`, 1))
	tests := map[string]struct {
		args []string
		code int
		want string
	}{
		"check":               {args: []string{"check", file}, want: "objects are valid"},
		"check, invalid":      {args: []string{"check", invalid}, code: 2, want: `no limit is called "nothing"`},
		"plan":                {args: []string{"plan", file}, code: 3, want: "change allowance history"},
		"publish, invalid":    {args: []string{"publish", invalid}, code: 2, want: `no limit is called "nothing"`},
		"publish, stale base": {args: []string{"publish", file, "--base", "0"}, code: 4, want: "revision 1 is in force"},
		"show":                {args: []string{"show"}, want: "(secret "},
		"show as JSON":        {args: []string{"show", "-o", "json"}, want: `"revision": 1`},
		"history":             {args: []string{"history"}, want: "     1  "},
		"unknown command":     {args: []string{"steer"}, code: 2, want: "unexpected argument steer"},
		"unknown argument":    {args: []string{"plan", file, "--force"}, code: 2, want: "unknown flag --force"},
		"status":              {args: []string{"status", c.Instances[0].Health}, want: "ready=true"},
		"status, unreachable": {args: []string{"status", "127.0.0.1:1"}, code: 1, want: "does not answer"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			out, err := c.Tool(test.args...)
			if diff := cmp.Diff(test.code, exitCode(err)); diff != "" {
				t.Errorf("exit code %s\n%s", diff, out)
			}
			if !strings.Contains(out, test.want) {
				t.Errorf("printed %q, want %q", out, test.want)
			}
			if strings.Contains(out, "planted") {
				t.Errorf("output contains a secret: %s", out)
			}
		})
	}
}
