package event

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	released chan struct{}
	out      bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.released
	return s.out.Write(p)
}

// TestStuckOutput keeps the writers of lines going, and the lines bounded, while the output takes nothing.
func TestStuckOutput(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	out := &stuck{released: make(chan struct{})}
	w := NewWriter(ctx, clock.System{}, out)
	manual := clock.NewManual(time.Unix(0, 0))
	logger := NewLogger(w, log.InfoLevel, manual)
	started := time.Now()
	const lines = 20000
	for range lines {
		logger.Log(RequestServed, log.Fields{"request": "0123456789abcdef"})
		manual.Advance(time.Second / linesPerSecond)
	}
	if took := time.Since(started); took > 5*time.Second {
		t.Errorf("%d lines took %s", lines, took)
	}
	if held := len(w.buffer); held > bufferMaximum+1024 {
		t.Errorf("%d bytes wait", held)
	}
	close(out.released)
	cancel()
	<-w.Done()
	if !strings.Contains(out.out.String(), "event=110") {
		t.Error("lines were left out and not counted")
	}
}

// TestVolume bounds the lines of a second and counts those left out.
func TestVolume(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var out bytes.Buffer
	manual := clock.NewManual(time.Unix(0, 0))
	w := NewWriter(ctx, manual, &out)
	logger := NewLogger(w, log.InfoLevel, manual)
	for range 3 * linesPerSecond {
		logger.Log(RequestServed, nil)
	}
	manual.Advance(time.Second)
	logger.Log(RequestServed, nil)
	cancel()
	<-w.Done()
	if got := strings.Count(out.String(), "event=207"); got != linesPerSecond+1 {
		t.Errorf("%d lines", got)
	}
	if !strings.Contains(out.String(), "count=800") {
		t.Error("left out lines are not counted")
	}
}
