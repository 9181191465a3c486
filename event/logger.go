package event

import (
	"sync/atomic"

	"github.com/apex/log"

	"siskincove/clock"
)

// Logger writes events with fields common to all of them.
type Logger struct {
	handler log.Handler
	level   atomic.Int32
	clock   clock.Service
	base    *log.Logger
}

// NewLogger returns a logger that hands lines at or above level to handler.
func NewLogger(handler log.Handler, level log.Level, service clock.Service) *Logger {
	l := &Logger{handler: handler, clock: service, base: &log.Logger{Handler: handler, Level: level}}
	l.SetLevel(level)
	return l
}

// SetLevel lets lines below a level be left out from now on.
func (l *Logger) SetLevel(level log.Level) { l.level.Store(int32(level)) }

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return NewLogger(log.HandlerFunc(func(*log.Entry) error { return nil }), log.FatalLevel, clock.System{})
}

// Enabled reports whether the event would be written.
func (l *Logger) Enabled(e Event) bool { return int32(e.Level) >= l.level.Load() }

// Log writes one line for the event; fields is used up by the call.
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
		Logger:    l.base,
		Fields:    fields,
		Level:     e.Level,
		Timestamp: l.clock.Now(),
		Message:   e.Message,
	})
}
