package group

import (
	"time"

	"siskincove/endpoint"
)

const (
	// busyGain is the weight of the newest answer in an endpoint's busy share.
	busyGain = 0.25
	// busyHalfLife is the time in which a busy share halves without new answers, a few times the mean execution time of
	// a statement.
	busyHalfLife = 150 * time.Millisecond
	// latencyGain is the weight of the newest answer in an endpoint's mean latency.
	latencyGain = 0.15
	// initialLatency is assumed before the first answer; statements take some tens of ms.
	initialLatency = 30 * time.Millisecond
	// behindPause is how long an endpoint that was behind is not asked for the same position again, about a replication
	// delay.
	behindPause = 60 * time.Millisecond
	// maxBehindPause bounds the pause for an endpoint that stays behind; each refusal doubles it.
	maxBehindPause = 500 * time.Millisecond
)

// member is what this instance has observed of an endpoint.
type member struct {
	name string
	// applied is the log position in the endpoint's last answer.
	applied endpoint.Position
	// behind is a position that the endpoint lacked, assumed until behindUntil. behindPause is the length of that
	// pause.
	behind      endpoint.Position
	behindUntil time.Time
	behindPause time.Duration
	avoidUntil  time.Time
	// deniedAt is when the endpoint last denied leading.
	deniedAt time.Time
	busy     float64
	busyAt   time.Time
	latency  time.Duration
}

func (m member) busyShare(now time.Time) float64 {
	share := m.busy
	for since := now.Sub(m.busyAt); since >= busyHalfLife && share > 0.01; since -= busyHalfLife {
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

// isBehind reports whether the endpoint recently lacked a position at or before p.
func (m member) isBehind(p endpoint.Position, now time.Time) bool {
	return now.Before(m.behindUntil) && p.Covers(m.behind) && !m.applied.Covers(p)
}
