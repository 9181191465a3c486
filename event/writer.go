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
	// bufferMaximum bounds the lines, in bytes, that wait for an output that does not take them.
	bufferMaximum = 64 << 10
	flushInterval = 20 * time.Millisecond
	timeLayout    = "2006-01-02T15:04:05.000000Z07:00"
	// linesPerSecond bounds the volume: some times the requests that one instance serves in a second.
	linesPerSecond = 400
)

// Writer is an apex/log handler that writes one line of name=value pairs for each entry. It never waits for its output:
// lines beyond the bounds are counted and left out.
type Writer struct {
	clock clock.Service
	// out is written to by one goroutine at a time, the holder of writing.
	writing sync.Mutex
	out     io.Writer

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	keys    []string
	second  time.Time
	lines   int
	leftOut int
	// written is signalled when there is something to flush.
	written chan struct{}
	done    chan struct{}
}

// NewWriter returns a handler that writes to out, a short time after a line was handed in, until ctx ends.
func NewWriter(ctx context.Context, service clock.Service, out io.Writer) *Writer {
	w := &Writer{clock: service, out: out, written: make(chan struct{}, 1), done: make(chan struct{})}
	go w.flush(ctx, service)
	return w
}

// Done is closed once the last lines are flushed after the context's end.
func (w *Writer) Done() <-chan struct{} { return w.done }

func (w *Writer) flush(ctx context.Context, service clock.Service) {
	defer close(w.done)
	defer w.Flush()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.written:
		}
		if clock.Wait(ctx, service, flushInterval) != nil {
			return
		}
		w.Flush()
	}
}

// Flush writes out what is buffered; it waits for the output.
func (w *Writer) Flush() {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	w.reportLeftOut()
	full := w.buffer
	w.buffer = w.spare[:0]
	w.mu.Unlock()
	if len(full) > 0 {
		// There is nowhere to tell that the output failed.
		_, _ = w.out.Write(full)
	}
	w.mu.Lock()
	w.spare = full
	w.mu.Unlock()
}

// reportLeftOut adds a line that counts those that are missing.
func (w *Writer) reportLeftOut() {
	if w.leftOut == 0 {
		return
	}
	e := LinesDropped
	w.append(&log.Entry{
		Level: e.Level, Message: e.Message, Timestamp: w.clock.Now(),
		Fields: log.Fields{"event": e.Number, "subsystem": e.Subsystem, "count": w.leftOut},
	})
	w.leftOut = 0
}

// HandleLog takes in the entry's time, level, message and fields, the fields in order of name.
func (w *Writer) HandleLog(e *log.Entry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.allowed(e.Timestamp) {
		w.leftOut++
		return nil
	}
	w.append(e)
	select {
	case w.written <- struct{}{}:
	default:
	}
	return nil
}

// allowed counts a line against the bounds on lines in a second and on bytes that wait.
func (w *Writer) allowed(now time.Time) bool {
	if now.Sub(w.second) >= time.Second || now.Before(w.second) {
		w.second, w.lines = now, 0
	}
	w.lines++
	return w.lines <= linesPerSecond && len(w.buffer) < bufferMaximum
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
