package hosted

import (
	"context"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/event"
)

const (
	// drainDelay is how long the instance still accepts new callers after it has become unready: the platform checks
	// readiness once a second and stops sending callers after two failed checks.
	drainDelay = 2300 * time.Millisecond
	// transactionDrainShare is the fraction of the limit that open transactions have to finish.
	transactionDrainShare = 0.5
	// answerReserve is the time before the limit at which requests in flight are aborted, so that their answers can still
	// be sent.
	answerReserve     = 700 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// deregisterTimeout bounds telling the peers and removing the instance's row from the store.
	deregisterTimeout = 300 * time.Millisecond
)

// Shutdown shuts the instance down gracefully within limit: it becomes unready, deregisters, lets sessions and transactions
// finish and stops. It returns the number of sessions that were cut off.
func (i *Instance) Shutdown(limit time.Duration) int {
	o := i.options
	started := o.Clock.Now()
	o.Logger.Log(event.Stopping, log.Fields{"instance": o.Settings.Instance.ID, "sessions": i.callers.Sessions()})
	i.health.setShuttingDown()
	i.deregister()
	i.waitUntil(started.Add(min(drainDelay, time.Duration(transactionDrainShare*float64(limit)))))
	i.callers.Drain()
	i.awaitNoSessions(started.Add(time.Duration(transactionDrainShare * float64(limit))))
	i.callers.Close()
	i.awaitNoSessions(started.Add(limit - answerReserve))
	i.callers.CancelRequests()
	i.awaitNoSessions(started.Add(limit - answerReserve/2))
	remaining := i.callers.Sessions()
	i.cancel()
	i.wait()
	if remaining > 0 {
		o.Logger.Log(event.ForcedStop, log.Fields{"instance": o.Settings.Instance.ID, "inflight": remaining})
	} else {
		o.Logger.Log(event.Stopped, log.Fields{"instance": o.Settings.Instance.ID, "took": o.Clock.Now().Sub(started).String()})
	}
	return remaining
}

// deregister gives up the instance's roles towards others: it stops its coordinators, tells its peers that it leaves, stops
// lending connections and removes its row from the store.
func (i *Instance) deregister() {
	i.coordinators.Stop()
	ctx, cancel := context.WithTimeout(i.ctx, deregisterTimeout)
	defer cancel()
	i.members.Leave(ctx)
	i.lender.Drain()
	if err := i.roster.Deregister(ctx); err != nil {
		i.options.Logger.Log(event.RosterFailed, log.Fields{"error": err.Error()})
	}
}

func (i *Instance) waitUntil(deadline time.Time) {
	_ = clock.Wait(i.ctx, i.options.Clock, deadline.Sub(i.options.Clock.Now()))
}

// awaitNoSessions waits until no session is left, or until the deadline.
func (i *Instance) awaitNoSessions(deadline time.Time) {
	for i.callers.Sessions() > 0 && i.options.Clock.Now().Before(deadline) {
		if clock.Wait(i.ctx, i.options.Clock, drainPollInterval) != nil {
			return
		}
	}
}
