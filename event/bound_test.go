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

// blockedWriter blocks every Write until released is closed.
type blockedWriter struct {
	released chan struct{}
	out      bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.released
	return s.out.Write(p)
}

// TestBlockedOutput checks that a blocked output neither blocks logging nor lets the buffer grow without limit.
func TestBlockedOutput(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	out := &blockedWriter{released: make(chan struct{})}
	w := NewWriter(ctx, clock.System{}, out)
	manual := clock.NewManual(time.Unix(0, 0))
	logger := NewLogger(w, log.InfoLevel, manual)
	started := time.Now()
	const lines = 20000
	for range lines {
		logger.Log(RequestServed, log.Fields{"request": "0123456789abcdef"})
		manual.Advance(time.Second / maxLinesPerSecond)
	}
	if took := time.Since(started); took > 5*time.Second {
		t.Errorf("%d lines took %s", lines, took)
	}
	if buffered := len(w.buffer); buffered > maxBufferBytes+1024 {
		t.Errorf("%d bytes buffered", buffered)
	}
	close(out.released)
	cancel()
	<-w.Done()
	if !strings.Contains(out.out.String(), "event=110") {
		t.Error("dropped lines were not reported")
	}
}

// TestLineRateLimit checks the limit on lines per second and the count of dropped lines.
func TestLineRateLimit(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var out bytes.Buffer
	manual := clock.NewManual(time.Unix(0, 0))
	w := NewWriter(ctx, manual, &out)
	logger := NewLogger(w, log.InfoLevel, manual)
	for range 3 * maxLinesPerSecond {
		logger.Log(RequestServed, nil)
	}
	manual.Advance(time.Second)
	logger.Log(RequestServed, nil)
	cancel()
	<-w.Done()
	if got := strings.Count(out.String(), "event=207"); got != maxLinesPerSecond+1 {
		t.Errorf("%d lines", got)
	}
	if !strings.Contains(out.String(), "count=800") {
		t.Error("the number of dropped lines was not reported")
	}
}
