package allotment

import (
	"time"

	"siskincove/config"
)

// Outcome tells what becomes of the callers that wait for operations of a workspace.
type Outcome uint8

const (
	// Waiting callers wait for an answer of an account.
	Waiting Outcome = iota
	// Exhausted means that each account that answers has nothing to grant.
	Exhausted
	// Unreachable means that no account answers.
	Unreachable
)

// Desk holds what an instance knows of one workspace: the operations granted to it, the accounts that it has asked and the callers
// that wait, as their number. It uses no clock and is not safe for concurrent use.
type Desk struct {
	workspace config.Workspace
	share     Share
	// accounts are the addresses of the accounts, the nearest first.
	accounts []string
	balance  Balance
	demand   demand
	// asked holds how many operations were requested from each account that has not answered yet.
	asked map[string]int
	// empty holds the accounts that had too little, absent those that were none, silent those that did not answer.
	empty, absent, silent Pauses
	// aheadAfter is when operations may be requested ahead again.
	aheadAfter time.Time
	waiting    int
	// refused counts the callers refused since the last grant.
	refused int
}

// NewDesk returns a desk for a workspace whose operations are limited by bounds.
func NewDesk(w config.Workspace, b Bounds, regions int) *Desk {
	return &Desk{workspace: w, share: Divide(w, b, regions), asked: make(map[string]int)}
}

// SetWorkspace applies a changed allotment.
func (d *Desk) SetWorkspace(w config.Workspace, b Bounds, regions int) {
	if d.workspace.Rate != w.Rate || d.workspace.Burst != w.Burst {
		d.workspace, d.share = w, Divide(w, b, regions)
		d.empty = Pauses{}
	}
}

// SetAccounts records the addresses of the workspace's accounts, the nearest first.
func (d *Desk) SetAccounts(addresses []string) { d.accounts = addresses }

// Arrive records a caller and returns the time until which it may start, or false if it has to wait.
func (d *Desk) Arrive(now time.Time) (time.Time, bool) {
	d.demand = d.demand.withOperation(now)
	d.waiting++
	if d.waiting > 1 {
		return time.Time{}, false
	}
	return d.Serve(now)
}

// Serve lets one of the waiting callers start, if there is one and an operation for it. It returns until when that may start.
func (d *Desk) Serve(now time.Time) (time.Time, bool) {
	if d.waiting == 0 {
		return time.Time{}, false
	}
	var expires time.Time
	var ok bool
	if d.balance, expires, ok = d.balance.Take(now); !ok {
		return time.Time{}, false
	}
	d.waiting--
	return expires, true
}

// GiveUp removes a waiting caller.
func (d *Desk) GiveUp() { d.waiting-- }

// Refuse removes a waiting caller that is refused because the allotment is exhausted and returns when it may come back.
func (d *Desk) Refuse(now time.Time) time.Duration {
	d.waiting--
	d.refused++
	return RetryAfter(d.emptyFor(now), d.refused-1, d.workspace.Rate)
}

// Return adds an operation back that was not started.
func (d *Desk) Return(expires time.Time) { d.balance = d.balance.WithGrant(1, expires) }

// emptyFor returns the time until the first account may have operations again.
func (d *Desk) emptyFor(now time.Time) time.Duration {
	var first time.Duration
	for _, address := range d.accounts {
		if left := d.empty.Left(address, now); left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}

// Next returns the requests to send, and what becomes of the waiting callers.
func (d *Desk) Next(now time.Time) ([]Ask, Outcome) {
	var available []string
	exhausted := false
	for _, address := range d.accounts {
		_, inFlight := d.asked[address]
		empty := d.empty.Left(address, now) > 0
		exhausted = exhausted || empty
		if !inFlight && !empty && d.absent.Left(address, now) == 0 && d.silent.Left(address, now) == 0 {
			available = append(available, address)
		}
	}
	pending := 0
	for _, wanted := range d.asked {
		pending += wanted
	}
	asks := Asks(available, d.waiting, pending, len(d.asked), d.ahead(exhausted, now))
	for _, a := range asks {
		d.asked[a.Address] = a.Wanted
		if a.Ahead > 0 {
			d.aheadAfter = now.Add(d.share.Lifetime / 2)
		}
	}
	switch {
	case len(d.asked) > 0 || d.waiting == 0:
		return asks, Waiting
	case exhausted:
		return nil, Exhausted
	default:
		return nil, Unreachable
	}
}

// ahead returns how many operations to request beyond those of the waiting callers: what a busy workspace is likely to start
// while they are valid.
func (d *Desk) ahead(exhausted bool, now time.Time) int {
	if exhausted || now.Before(d.aheadAfter) {
		return 0
	}
	expected := d.demand.expected(d.share.Lifetime, now)
	have := d.balance.Count(now)
	if have > expected/2 {
		return 0
	}
	return expected - have
}

// Answered records an account's answer to a request that was sent at a time.
func (d *Desk) Answered(a Ask, g Grant, sent, now time.Time) {
	delete(d.asked, a.Address)
	d.silent = d.silent.Without(a.Address)
	switch {
	case g.Absent:
		d.absent = d.absent.With(a.Address, now.Add(absentPause), now)
	case g.Granted < a.Wanted:
		d.empty = d.empty.With(a.Address, now.Add(max(g.After, minPause)), now)
	}
	if g.Granted > 0 {
		d.refused = 0
	}
	d.balance = d.balance.WithGrant(g.Granted, sent.Add(g.Lifetime))
}

// Unanswered records that no answer to a request came.
func (d *Desk) Unanswered(a Ask) { delete(d.asked, a.Address) }

// Avoid keeps an account that does not answer from being asked for a while.
func (d *Desk) Avoid(address string, now time.Time) {
	d.silent = d.silent.With(address, now.Add(silencePause), now)
}

const (
	// absentPause is how long an instance is not asked that keeps no account; views of the instances soon agree again.
	absentPause = 100 * time.Millisecond
	// silencePause is how long an instance is not asked that did not answer. Heartbeats tell soon whether it is dead.
	silencePause = 300 * time.Millisecond
	minPause     = time.Millisecond
)
