package proof

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"siskincove/load"
	"siskincove/standin/cluster"
)

const (
	caller   = "technician"
	password = "correct horse"
	service  = "certstore"
	database = "cert1"
)

// binaries is the directory of the built programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "siskincove")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if err := cluster.Build("..", directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binaries = directory
	return m.Run()
}

// testGroup returns the options of a group of three endpoints, which most tests use.
func testGroup() cluster.Group {
	return cluster.Group{
		Database: database, Vendor: "postgres", Domains: []string{"fi-south/a", "se-east/a", "de-north/a"},
		Slots: 5, Connections: 80, ConnectDelay: time.Millisecond,
	}
}

// startCluster starts three instances and one group, publishes objects and waits until every endpoint has an owner and the
// primary accepts writes. If edit is not nil, it changes the options first.
func startCluster(t *testing.T, edit func(*cluster.Options), objects cluster.Objects) *cluster.Cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	o := cluster.Options{
		Binaries: binaries, Directory: t.TempDir(), Domains: []string{"fi-south/a", "se-east/a", "de-north/a"},
		Groups: []cluster.Group{testGroup()},
	}
	if edit != nil {
		edit(&o)
	}
	c, err := cluster.Start(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Stop()
		if t.Failed() {
			for _, i := range c.Instances {
				t.Logf("%s:\n%s", i.ID, tail(i.Log(), 60))
			}
		}
	})
	publish(t, c, objects)
	if err := c.WaitUsable(ctx, 1); err != nil {
		t.Fatal(err)
	}
	return c
}

// publish publishes the objects with the service, caller and password of the tests.
func publish(t *testing.T, c *cluster.Cluster, objects cluster.Objects) {
	t.Helper()
	objects.Service, objects.Caller, objects.Password = service, caller, password
	text, err := c.ObjectsTOML(objects)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Publish(text); err != nil {
		t.Fatal(err)
	}
}

// tail returns the end of a text, from the given number of line breaks before its end.
func tail(text string, lines int) string {
	end := len(text)
	for i := len(text) - 1; i >= 0 && lines > 0; i-- {
		if text[i] == '\n' {
			lines--
			end = i
		}
	}
	if lines > 0 {
		return text
	}
	return text[end:]
}

// connect opens a session at instance n, counted from 0, on the service's main route if route is empty.
func connect(t *testing.T, c *cluster.Cluster, n int, route string) *pgx.Conn {
	t.Helper()
	name := service
	if route != "" {
		name += "/" + route
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, load.URL(c.Instances[n].Callers, caller, password, name))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func boundedContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}
