package allotment

import (
	"math"
	"time"
)

// demandDecay is the time over which the rate of operations is averaged.
const demandDecay = time.Second

// demand estimates the rate of a workspace's operations at this instance. It is an immutable value.
type demand struct {
	perSecond float64
	at        time.Time
}

// withOperation returns the estimate after one more operation.
func (d demand) withOperation(now time.Time) demand {
	return demand{perSecond: d.rate(now) + 1/demandDecay.Seconds(), at: now}
}

// rate returns the estimate at a time.
func (d demand) rate(now time.Time) float64 {
	return d.perSecond * math.Exp(-max(0, now.Sub(d.at).Seconds())/demandDecay.Seconds())
}

// expected returns how many operations are likely to start within a time, rounded down.
func (d demand) expected(within time.Duration, now time.Time) int {
	return int(d.rate(now) * within.Seconds())
}
