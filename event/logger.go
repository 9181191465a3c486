package event

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
)

// Logger writes events as log entries, each with its event number and subsystem as fields.
type Logger struct {
	handler     log.Handler
	level       atomic.Int32
	clock       clock.Service
	entryLogger *log.Logger

	panicMu sync.Mutex
	// panicLogged is when a panic was last logged, by task.
	panicLogged map[string]time.Time
}

// NewLogger returns a logger that passes events at or above level to handler.
func NewLogger(handler log.Handler, level log.Level, clk clock.Service) *Logger {
	l := &Logger{handler: handler, clock: clk, entryLogger: &log.Logger{Handler: handler, Level: level}}
	l.SetLevel(level)
	return l
}

// SetLevel sets the minimum level of the events that are written.
func (l *Logger) SetLevel(level log.Level) { l.level.Store(int32(level)) }

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return NewLogger(log.HandlerFunc(func(*log.Entry) error { return nil }), log.FatalLevel, clock.System{})
}

// Enabled reports whether the event would be written.
func (l *Logger) Enabled(e Event) bool { return int32(e.Level) >= l.level.Load() }

// Log writes one line for the event. It adds to fields, which the caller must not use again.
func (l *Logger) Log(e Event, fields log.Fields) {
	if !l.Enabled(e) {
		return
	}
	if fields == nil {
		fields = make(log.Fields, 2)
	}
	fields["event"] = e.Number
	fields["subsystem"] = e.Subsystem
	_ = l.handler.HandleLog(&log.Entry{
		Logger:    l.entryLogger,
		Fields:    fields,
		Level:     e.Level,
		Timestamp: l.clock.Now(),
		Message:   e.Message,
	})
}
