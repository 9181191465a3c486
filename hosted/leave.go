package hosted

import (
	"context"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/event"
)

const (
	// noticeTime is how long the instance goes on serving new callers after it is no longer ready: the platform looks once
	// a second and takes an instance out after two misses.
	noticeTime = 2300 * time.Millisecond
	// transactionShare is the part of the limit that open transactions have to end.
	transactionShare = 0.5
	// answerTime is left of the limit for the last answers.
	answerTime = 700 * time.Millisecond
	leaveCheck = 20 * time.Millisecond
	// farewellTime is what removing the instance's row from the store may take.
	farewellTime = 300 * time.Millisecond
)

// Leave takes the instance out gracefully within a limit: it is no longer ready, tells its peers, lets sessions and
// transactions end and ends itself. It returns how many sessions were cut off.
func (i *Instance) Leave(limit time.Duration) int {
	o := i.options
	started := o.Clock.Now()
	o.Logger.Log(event.Stopping, log.Fields{"instance": o.Settings.Instance.ID, "sessions": i.callers.Sessions()})
	i.health.leave()
	i.withdraw()
	i.until(started.Add(min(noticeTime, time.Duration(transactionShare*float64(limit)))))
	i.callers.Leave()
	i.empty(started.Add(time.Duration(transactionShare * float64(limit))))
	i.callers.Close()
	i.empty(started.Add(limit - answerTime))
	i.callers.Cut()
	i.empty(started.Add(limit - answerTime/2))
	left := i.callers.Sessions()
	i.cancel()
	i.wait()
	if left > 0 {
		o.Logger.Log(event.ForcedStop, log.Fields{"instance": o.Settings.Instance.ID, "inflight": left})
	} else {
		o.Logger.Log(event.Stopped, log.Fields{"instance": o.Settings.Instance.ID, "took": o.Clock.Now().Sub(started).String()})
	}
	return left
}

// withdraw ends what others rely on: coordinators, membership, the row in the store.
func (i *Instance) withdraw() {
	i.coordinators.Leave()
	ctx, cancel := context.WithTimeout(i.ctx, farewellTime)
	defer cancel()
	i.members.Leave(ctx)
	i.lender.Leave()
	if err := i.roster.Leave(ctx); err != nil {
		i.options.Logger.Log(event.RosterFailed, log.Fields{"error": err.Error()})
	}
}

func (i *Instance) until(at time.Time) {
	_ = clock.Wait(i.ctx, i.options.Clock, at.Sub(i.options.Clock.Now()))
}

// empty waits until no caller is connected, at most until a time.
func (i *Instance) empty(at time.Time) {
	for i.callers.Sessions() > 0 && i.options.Clock.Now().Before(at) {
		_ = clock.Wait(i.ctx, i.options.Clock, leaveCheck)
	}
}
