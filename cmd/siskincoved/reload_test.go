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

const settingsText = `[instance]
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

// TestReloader checks that a changed store address is applied, on a signal or by polling, and that an invalid file is ignored.
func TestReloader(t *testing.T) {
	newStore := strings.Replace(settingsText, "127.0.0.1:5", "127.0.0.1:50", 1)
	tests := map[string]struct {
		file   string
		signal bool
		want   []string
	}{
		"signal":                {file: newStore, signal: true, want: []string{"127.0.0.1:50"}},
		"polling":               {file: newStore, want: []string{"127.0.0.1:50"}},
		"invalid":               {file: "[store]\n", signal: true},
		"store address missing": {file: strings.Replace(settingsText, `address = "127.0.0.1:5"`, "", 1), signal: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "i0.toml")
			writeFile(t, file, settingsText, time.Unix(1000, 0))
			current, _, problems := settings.Load(file)
			if len(problems) > 0 {
				t.Fatal(problems)
			}
			signals := make(chan os.Signal)
			manual := clock.NewManual(time.Unix(2000, 0))
			applied := make(chan string, 2)
			r := reloader{file: file, current: current, clock: manual, logger: event.Discard(), signals: signals, apply: func(s settings.Settings) {
				applied <- s.Store.Address
			}}
			ended := make(chan settings.Settings)
			go func() { ended <- r.wait(context.Background()) }()
			signals <- syscall.SIGHUP
			// Once the first reload is applied, the reloader has recorded the file's modification time.
			got := []string{<-applied}
			writeFile(t, file, test.file, time.Unix(1001, 0))
			if test.signal {
				signals <- syscall.SIGHUP
			} else {
				manual.Advance(settingsPollInterval)
				got = append(got, <-applied)
			}
			signals <- syscall.SIGTERM
			last := <-ended
			close(applied)
			for address := range applied {
				got = append(got, address)
			}
			want := append([]string{"127.0.0.1:5"}, test.want...)
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(want[len(want)-1], last.Store.Address); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func writeFile(t *testing.T, file, text string, at time.Time) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(file, at, at); err != nil {
		t.Fatal(err)
	}
}
