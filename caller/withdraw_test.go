package caller

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
)

// withKeys returns the configuration of the tests with one workspace that holds the keys.
func withKeys(keys ...string) *config.Catalog {
	set := testSet()
	w := config.Workspace{Name: "blue"}
	for _, key := range keys {
		w.Keys = append(w.Keys, config.HashKey(key))
	}
	set.Workspaces = []config.Workspace{w}
	return config.NewCatalog(set).WithIdleTimeout(time.Minute)
}

// TestEndWithdrawn guards against idle sessions that outlive their key, which inside a transaction would hold a connection to
// an endpoint. Other sessions go on.
func TestEndWithdrawn(t *testing.T) {
	tests := map[string]struct {
		key   string
		words []string
		want  []string
		ends  []string
	}{
		"idle":                       {key: "k1", want: []string{"hello"}, ends: []string{"refused unauthorized", "end"}},
		"after a request":            {key: "k1", words: []string{"set"}, want: []string{"hello", "done"}, ends: []string{"refused unauthorized", "end"}},
		"in a transaction":           {key: "k1", words: []string{"begin"}, want: []string{"hello", "done"}, ends: []string{"refused unauthorized", "end"}},
		"other key":                  {key: "k2", words: []string{"set"}, want: []string{"hello", "done"}, ends: []string{"done"}},
		"other key in a transaction": {key: "k2", words: []string{"begin"}, want: []string{"hello", "done"}, ends: []string{"done"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var catalogs currentCatalog
			catalogs.Store(withKeys("k1", "k2"))
			s, address := startServerWith(t, &catalogs, event.Discard())
			send, receive := connect(t, address, "main "+test.key)
			for _, word := range test.words {
				send(word)
			}
			expectLines(t, receive, test.want...)
			catalogs.Store(withKeys("k2"))
			s.EndWithdrawn()
			if test.key == "k2" {
				send("set")
			}
			expectLines(t, receive, test.ends...)
		})
	}
}

// TestRequestWithWithdrawnKey checks that a request which crosses the withdrawal is answered before the connection closes, also if
// EndWithdrawn has not been called yet.
func TestRequestWithWithdrawnKey(t *testing.T) {
	var catalogs currentCatalog
	catalogs.Store(withKeys("k1"))
	_, address := startServerWith(t, &catalogs, event.Discard())
	send, receive := connect(t, address, "main k1")
	expectLines(t, receive, "hello")
	catalogs.Store(withKeys())
	send("begin")
	expectLines(t, receive, "unauthorized", "refused unauthorized", "end")
}

// TestUnknownKeys guards against a flood of unknown keys that displaces the other lines of the log, and against keys in the log.
func TestUnknownKeys(t *testing.T) {
	var mu sync.Mutex
	var lines []string
	logger := event.NewLogger(log.HandlerFunc(func(e *log.Entry) error {
		mu.Lock()
		defer mu.Unlock()
		for name, value := range e.Fields {
			if text, ok := value.(string); ok && strings.Contains(text, "flood") {
				t.Errorf("key in the field %s", name)
			}
		}
		lines = append(lines, e.Message)
		return nil
	}), log.InfoLevel, clock.System{})
	var catalogs currentCatalog
	catalogs.Store(withKeys("k1"))
	s, address := startServerWith(t, &catalogs, logger)
	started := time.Now()
	const callers = 200
	for range callers {
		_, receive := connect(t, address, "main flood")
		expectLines(t, receive, "refused unauthorized", "end")
	}
	for s.Sessions() > 0 {
		time.Sleep(time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	if limit := 1 + int(time.Since(started)/refusalLogInterval); len(lines) > limit {
		t.Errorf("%d lines, at most %d wanted", len(lines), limit)
	}
	if diff := cmp.Diff("caller refused", lines[0]); diff != "" {
		t.Error(diff)
	}
}
