package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/settings"
)

const text = `[instance]
id = "i0"
domain = "r/a"
[callers]
protocol = "platform"
[listen]
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
health = "127.0.0.1:3"
metrics = "127.0.0.1:4"
[store]
address = "127.0.0.1:5"
[promotion]
address = "127.0.0.1:6"
`

// TestReloader edits the file, with and without a signal, and says which store is in force then.
func TestReloader(t *testing.T) {
	moved := strings.Replace(text, "127.0.0.1:5", "127.0.0.1:50", 1)
	tests := map[string]struct {
		file   string
		signal bool
		want   []string
	}{
		"signal":                {file: moved, signal: true, want: []string{"127.0.0.1:50"}},
		"no signal":             {file: moved, want: []string{"127.0.0.1:50"}},
		"not valid":             {file: "[store]\n", signal: true},
		"instance has no store": {file: strings.Replace(text, `address = "127.0.0.1:5"`, "", 1), signal: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "i0.toml")
			write(t, file, text, time.Unix(1000, 0))
			current, _, problems := settings.Load(file)
			if len(problems) > 0 {
				t.Fatal(problems)
			}
			signals := make(chan os.Signal)
			manual := clock.NewManual(time.Unix(2000, 0))
			took := make(chan string, 2)
			r := reloader{file: file, current: current, clock: manual, logger: event.Discard(), signals: signals, take: func(s settings.Settings) {
				took <- s.Store.Address
			}}
			ended := make(chan settings.Settings)
			go func() { ended <- r.wait(context.Background()) }()
			signals <- syscall.SIGHUP
			// The file's time is known once the first reading is taken over.
			taken := []string{<-took}
			write(t, file, test.file, time.Unix(1001, 0))
			if test.signal {
				signals <- syscall.SIGHUP
			} else {
				manual.Advance(settingsInterval)
				taken = append(taken, <-took)
			}
			signals <- syscall.SIGTERM
			last := <-ended
			close(took)
			for address := range took {
				taken = append(taken, address)
			}
			want := append([]string{"127.0.0.1:5"}, test.want...)
			if diff := cmp.Diff(want, taken); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(want[len(want)-1], last.Store.Address); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func write(t *testing.T, file, text string, at time.Time) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(file, at, at); err != nil {
		t.Fatal(err)
	}
}
