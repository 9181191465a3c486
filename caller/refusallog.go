package caller

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/verdict"
)

// refusalLogInterval is the least time between two lines about callers without a valid key, so that a flood of them does not
// displace other lines.
const refusalLogInterval = time.Second

// refusalLog counts and logs the callers that were refused a session.
type refusalLog struct {
	clock  clock.Service
	logger *event.Logger

	mu       sync.Mutex
	loggedAt time.Time
	// unlogged counts the callers without a valid key since the last line about one.
	unlogged int
}

func newRefusalLog(c clock.Service, logger *event.Logger) *refusalLog {
	return &refusalLog{clock: c, logger: logger}
}

// log logs that a caller was refused, and the number of callers without a valid key since the last line about one.
func (l *refusalLog) log(database string, refusal *verdict.Error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskincove_callers_refused_total{reason=%q}`, string(refusal.Reason))).Inc()
	fields := log.Fields{"database": database, "reason": string(refusal.Reason), "cause": refusal.Message}
	if refusal.Reason == verdict.Unauthorized {
		count := l.claimLine()
		if count == 0 {
			return
		}
		fields["count"] = count
	}
	l.logger.Log(event.CallerRefused, fields)
}

// claimLine counts a caller without a valid key. It returns how many a line is to report, 0 if none is due.
func (l *refusalLog) claimLine() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlogged++
	now := l.clock.Now()
	if now.Sub(l.loggedAt) < refusalLogInterval {
		return 0
	}
	count := l.unlogged
	l.loggedAt, l.unlogged = now, 0
	return count
}
