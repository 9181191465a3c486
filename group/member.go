package group

import (
	"time"

	"siskincove/endpoint"
)

const (
	// busyGain is the weight of the newest answer in an endpoint's busy share.
	busyGain = 0.25
	// busyHalf is the time in which an unobserved busy share halves, a few times the mean work of a statement.
	busyHalf = 150 * time.Millisecond
	// latencyGain is the weight of the newest answer in an endpoint's mean latency.
	latencyGain = 0.15
	// firstLatency is assumed before the first answer; statements take some tens of ms.
	firstLatency = 30 * time.Millisecond
	// behindPause is how long an endpoint that was behind is not asked for the same position again, about a
	// replication delay.
	behindPause = 60 * time.Millisecond
	// behindPauseMaximum bounds the pause for an endpoint that stays behind.
	behindPauseMaximum = 500 * time.Millisecond
)

// member is what was seen of an endpoint.
type member struct {
	name string
	// applied is the last log position told by an answer.
	applied endpoint.Position
	// behind is a position that the endpoint lacked, until when that is taken to hold, and the pause that led to that.
	behind      endpoint.Position
	behindUntil time.Time
	behindPause time.Duration
	avoidUntil  time.Time
	// deniedAt is when the endpoint last said that it does not lead.
	deniedAt time.Time
	busy     float64
	busyAt   time.Time
	latency  time.Duration
}

func (m member) busyShare(now time.Time) float64 {
	share := m.busy
	for since := now.Sub(m.busyAt); since >= busyHalf && share > 0.01; since -= busyHalf {
		share /= 2
	}
	return share
}

func (m member) withBusy(busy float64, now time.Time) member {
	m.busy = m.busyShare(now)*(1-busyGain) + busyGain*busy
	m.busyAt = now
	return m
}

func (m member) withLatency(took time.Duration) member {
	m.latency += time.Duration(latencyGain * float64(took-m.latency))
	return m
}

// lacks reports whether the endpoint was lately behind a position that is not past this one.
func (m member) lacks(p endpoint.Position, now time.Time) bool {
	return now.Before(m.behindUntil) && p.Covers(m.behind) && !m.applied.Covers(p)
}
