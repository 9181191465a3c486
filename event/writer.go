package event

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
)

const (
	// maxBufferBytes bounds the lines that are buffered while the output is blocked.
	maxBufferBytes = 64 << 10
	flushInterval  = 20 * time.Millisecond
	timeLayout     = "2006-01-02T15:04:05.000000Z07:00"
	// maxLinesPerSecond is a small multiple of the requests that one instance serves in a second.
	maxLinesPerSecond = 400
)

// Writer is an apex/log handler that writes one line of name=value pairs for each entry. It never waits for its output:
// lines beyond the limits are dropped and counted.
type Writer struct {
	clock clock.Service
	// writing is held while out is written to.
	writing sync.Mutex
	out     io.Writer

	mu          sync.Mutex
	buffer      []byte
	spare       []byte
	keys        []string
	secondStart time.Time
	secondLines int
	dropped     int
	// pending is signalled when there is something to flush.
	pending chan struct{}
	done    chan struct{}
}

// NewWriter returns a handler that writes to out until ctx ends. Lines are flushed within about 20 ms of being logged.
func NewWriter(ctx context.Context, clk clock.Service, out io.Writer) *Writer {
	w := &Writer{clock: clk, out: out, pending: make(chan struct{}, 1), done: make(chan struct{})}
	go w.flushLoop(ctx, clk)
	return w
}

// Done returns a channel that is closed once the context has ended and the last lines are flushed.
func (w *Writer) Done() <-chan struct{} { return w.done }

// flushLoop flushes buffered lines until ctx ends.
func (w *Writer) flushLoop(ctx context.Context, clk clock.Service) {
	defer close(w.done)
	defer w.Flush()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.pending:
		}
		if clock.Wait(ctx, clk, flushInterval) != nil {
			return
		}
		w.Flush()
	}
}

// Flush writes the buffered lines and blocks until the output has accepted them.
func (w *Writer) Flush() {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	w.reportDropped()
	lines := w.buffer
	w.buffer = w.spare[:0]
	w.mu.Unlock()
	if len(lines) > 0 {
		// A failure of the log output can't be logged.
		_, _ = w.out.Write(lines)
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}

// reportDropped appends a line with the number of dropped lines, if any.
func (w *Writer) reportDropped() {
	if w.dropped == 0 {
		return
	}
	e := LinesDropped
	w.append(&log.Entry{
		Level: e.Level, Message: e.Message, Timestamp: w.clock.Now(),
		Fields: log.Fields{"event": e.Number, "subsystem": e.Subsystem, "count": w.dropped},
	})
	w.dropped = 0
}

// HandleLog buffers a line with the entry's time, level, message and fields, the fields sorted by name.
func (w *Writer) HandleLog(e *log.Entry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(e.Timestamp) {
		w.dropped++
		return nil
	}
	w.append(e)
	select {
	case w.pending <- struct{}{}:
	default:
	}
	return nil
}

// admit counts a line and reports whether it is within the limits on lines per second and on buffered bytes.
func (w *Writer) admit(now time.Time) bool {
	if now.Sub(w.secondStart) >= time.Second || now.Before(w.secondStart) {
		w.secondStart, w.secondLines = now, 0
	}
	w.secondLines++
	return w.secondLines <= maxLinesPerSecond && len(w.buffer) < maxBufferBytes
}

func (w *Writer) append(e *log.Entry) {
	line := e.Timestamp.UTC().AppendFormat(append(w.buffer, "time="...), timeLayout)
	line = append(append(line, " level="...), e.Level.String()...)
	line = appendValue(append(line, " message="...), e.Message)
	w.keys = w.keys[:0]
	for key := range e.Fields {
		w.keys = append(w.keys, key)
	}
	slices.Sort(w.keys)
	for _, key := range w.keys {
		line = append(append(append(line, ' '), key...), '=')
		line = appendAny(line, e.Fields[key])
	}
	w.buffer = append(line, '\n')
}

func appendAny(line []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return appendValue(line, v)
	case int:
		return strconv.AppendInt(line, int64(v), 10)
	case uint64:
		return strconv.AppendUint(line, v, 10)
	case bool:
		return strconv.AppendBool(line, v)
	default:
		return appendValue(line, fmt.Sprint(v))
	}
}

func appendValue(line []byte, text string) []byte {
	if text == "" || strings.ContainsAny(text, " =\"\n\t") {
		return strconv.AppendQuote(line, text)
	}
	return append(line, text...)
}
