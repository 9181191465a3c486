package group

import (
	"time"

	"siskincove/endpoint"
)

const (
	// busyGain is the weight of the newest answer in an endpoint's busy share, the moving average of the share of answers
	// that report no free slot.
	busyGain = 0.25
	// busyHalfLife is the time in which a busy share halves without new answers, a few times the mean execution time of
	// a statement.
	busyHalfLife = 150 * time.Millisecond
	// latencyGain is the weight of the newest answer in an endpoint's mean latency.
	latencyGain = 0.15
	// initialLatency is assumed before the first answer; statements take some tens of ms.
	initialLatency = 30 * time.Millisecond
	// initialBehindPause is how long an endpoint that was behind is ranked last for the position that it lacked, about a
	// replication delay.
	initialBehindPause = 60 * time.Millisecond
	// maxBehindPause bounds the pause of an endpoint that stays behind; each refusal doubles the pause.
	maxBehindPause = 500 * time.Millisecond
)

// observation is what this instance has observed of an endpoint.
type observation struct {
	name string
	// applied is the log position in the endpoint's last answer.
	applied endpoint.Position
	// behind is a position that the endpoint lacked and is assumed to lack until behindUntil. behindPause is the length
	// of that period.
	behind      endpoint.Position
	behindUntil time.Time
	behindPause time.Duration
	// avoidUntil is until when the endpoint is avoided because it failed; see View.WithAvoid.
	avoidUntil time.Time
	// notPrimaryAt is when the endpoint last reported that it does not lead.
	notPrimaryAt time.Time
	// busy is the busy share as of busyAt.
	busy   float64
	busyAt time.Time
	// latency is the moving average of the duration of statements.
	latency time.Duration
}

// busyShare returns the busy share at now. Shares that are no longer significant are not halved further.
func (o observation) busyShare(now time.Time) float64 {
	share := o.busy
	for since := now.Sub(o.busyAt); since >= busyHalfLife && share > 0.01; since -= busyHalfLife {
		share /= 2
	}
	return share
}

func (o observation) withBusy(busy float64, now time.Time) observation {
	o.busy = o.busyShare(now)*(1-busyGain) + busyGain*busy
	o.busyAt = now
	return o
}

func (o observation) withLatency(took time.Duration) observation {
	o.latency += time.Duration(latencyGain * float64(took-o.latency))
	return o
}

// isBehind reports whether the endpoint recently lacked a position at or before p.
func (o observation) isBehind(p endpoint.Position, now time.Time) bool {
	return now.Before(o.behindUntil) && p.Covers(o.behind) && !o.applied.Covers(p)
}
