package allotment

import (
	"time"

	"siskincove/config"
)

const (
	// maxAccountsPerRegion bounds the accounts of a workspace in a region, and minAccountRate, in operations per second, is what
	// each further account must get. Several accounts are unlikely to be lost, or cut off from an instance, all at once.
	maxAccountsPerRegion = 2
	minAccountRate       = 0.5
	// minCapacity is how many operations an account should hold, so that two at once are not refused.
	minCapacity = 2
	// A granted operation should be valid for several round trips between regions, and not so long that those that an instance
	// does not start are missed elsewhere.
	minLifetime = 100 * time.Millisecond
	maxLifetime = 500 * time.Millisecond
	// reserveShare and lifetimeShare are the parts of the overage and the tolerance that are set aside for accounts that start
	// anew, and for operations granted before a window and started in it.
	reserveShare  = 0.35
	lifetimeShare = 0.25
	// restartsPerWindow is how many times in a window the reserve lets every account start anew.
	restartsPerWindow = 2
)

// Share is the part of a workspace's allotment that each of its accounts grants.
type Share struct {
	// PerRegion is the number of accounts in each region.
	PerRegion int
	// Rate is the operations per second that an account gains, Capacity the most that it holds and Initial what it starts with.
	Rate     float64
	Capacity float64
	Initial  float64
	// Lifetime is for how long granted operations may be started after the request for them was sent.
	Lifetime time.Duration
	// Window is for how long a granted operation counts: the window of the allotment and the lifetime.
	Window time.Duration
}

// Divide divides the allotment of a workspace among its accounts in a number of regions, so that all of them together stay
// within the bounds. Accounts of small workspaces together gain more than the workspace's rate, as far as the tolerance allows,
// so that the loss of some refuses little.
func Divide(w config.Workspace, b Bounds, regions int) Share {
	out := Share{PerRegion: 1}
	for out.PerRegion < maxAccountsPerRegion && w.Rate >= minAccountRate*float64((out.PerRegion+1)*regions) {
		out.PerRegion++
	}
	accounts := float64(out.PerRegion * regions)
	slack := b.Allowed(w) - b.nominal(w)
	out.Lifetime = maxLifetime
	if w.Rate > 0 {
		out.Lifetime = min(maxLifetime, max(minLifetime, time.Duration(lifetimeShare*slack/w.Rate*float64(time.Second))))
	}
	out.Window = b.Window + out.Lifetime
	perAccount := (b.Allowed(w) - reserveShare*slack) / accounts
	out.Capacity = max(min(w.Burst/accounts, perAccount), min(minCapacity, perAccount/2))
	out.Rate = max(0, min(w.Rate, (perAccount-out.Capacity)/out.Window.Seconds()))
	out.Initial = min(out.Capacity, reserveShare*slack/(restartsPerWindow*accounts))
	return out
}
