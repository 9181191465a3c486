package event

import (
	"bufio"
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
	writerBuffer  = 64 << 10
	flushInterval = 20 * time.Millisecond
	timeLayout    = "2006-01-02T15:04:05.000000Z07:00"
)

// Writer is an apex/log handler that writes one line of name=value pairs for each entry.
type Writer struct {
	mu   sync.Mutex
	out  *bufio.Writer
	line []byte
	keys []string
	// written is signalled when there is something to flush.
	written chan struct{}
	done    chan struct{}
}

// NewWriter returns a handler that writes to out, and flushes a short time after something was written, until ctx ends.
func NewWriter(ctx context.Context, service clock.Service, out io.Writer) *Writer {
	w := &Writer{out: bufio.NewWriterSize(out, writerBuffer), written: make(chan struct{}, 1), done: make(chan struct{})}
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

// Flush writes out what is buffered.
func (w *Writer) Flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.out.Flush()
}

// HandleLog writes the entry's time, level, message and fields, the fields in order of name.
func (w *Writer) HandleLog(e *log.Entry) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line = e.Timestamp.UTC().AppendFormat(append(w.line[:0], "time="...), timeLayout)
	w.line = append(append(w.line, " level="...), e.Level.String()...)
	w.line = appendValue(append(w.line, " message="...), e.Message)
	w.keys = w.keys[:0]
	for key := range e.Fields {
		w.keys = append(w.keys, key)
	}
	slices.Sort(w.keys)
	for _, key := range w.keys {
		w.line = append(append(append(w.line, ' '), key...), '=')
		w.line = appendAny(w.line, e.Fields[key])
	}
	w.line = append(w.line, '\n')
	_, err := w.out.Write(w.line)
	select {
	case w.written <- struct{}{}:
	default:
	}
	return err
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
