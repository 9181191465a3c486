package event

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

const (
	// panicLogInterval is the least time between two lines about panics in one task.
	panicLogInterval = time.Minute
	// maxStackBytes bounds the stack in such a line.
	maxStackBytes = 4096
)

// Contain ends a panic of the goroutine that defers it, so that the process continues; it is for goroutines that serve one
// caller or peer, whose connection then ends. The panic is counted, and logged with its stack once a minute for each task.
func (l *Logger) Contain(task string) {
	cause := recover()
	if cause == nil {
		return
	}
	stack := debug.Stack()
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskincove_panics_total{task=%q}`, task)).Inc()
	if l.claimPanicLine(task) {
		l.Log(PanicContained, log.Fields{
			"task": task, "cause": fmt.Sprint(cause), "stack": string(stack[:min(len(stack), maxStackBytes)]),
		})
	}
}

// claimPanicLine reports whether a line about a panic in a task is due.
func (l *Logger) claimPanicLine(task string) bool {
	l.panicMu.Lock()
	defer l.panicMu.Unlock()
	now := l.clock.Now()
	if last, ok := l.panicLogged[task]; ok && now.Sub(last) < panicLogInterval {
		return false
	}
	if l.panicLogged == nil {
		l.panicLogged = make(map[string]time.Time)
	}
	l.panicLogged[task] = now
	return true
}
