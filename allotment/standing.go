package allotment

import (
	"slices"
	"time"

	"siskincove/member"
)

const (
	// settleTime is how long an instance runs before it keeps accounts, unless it was listed before it started. Meanwhile the
	// others learn of it.
	settleTime = time.Second
	// predecessors is how many of the instances that rank next after those that keep a workspace's accounts must have answered
	// a new one: while many instances start at the same time, the former keeper may be some ranks away.
	predecessors = 5
	// abandonTime is how long a new instance waits for one that has not answered since before it started.
	abandonTime = 30 * time.Second
)

// Standing is what decides whether an instance may keep the accounts that its rank gives it.
type Standing struct {
	ID string
	// Listed is set if the roster listed the instance before it started, and RosterKnown once it has read the roster or got it from
	// a peer.
	Listed      bool
	RosterKnown bool
	// Age is the time since the instance started.
	Age time.Duration
	// Keeping is set if the instance keeps the account already, which then ends only by its rank.
	Keeping bool
}

// Candidates returns how many of the highest-ranked instances Keeps needs to know if count of them keep accounts.
func Candidates(count int) int { return count + predecessors }

// Keeps reports whether the instance keeps an account that the count highest-ranked instances keep. ranked are the
// highest-ranked known instances, dead ones included. It also returns the instances whose answer it lacks: one that has answered
// knows this instance, ranks it too, and so keeps no account in its place.
func (s Standing) Keeps(ranked []member.Instance, count int) (keeps bool, unmet []member.Instance) {
	rank := slices.IndexFunc(ranked, func(i member.Instance) bool { return i.ID == s.ID })
	if rank < 0 || rank >= count || !s.RosterKnown {
		return false, nil
	}
	if s.Keeping {
		return true, nil
	}
	for _, i := range ranked {
		if i.ID != s.ID && s.needsAnswer(i) {
			unmet = append(unmet, i)
		}
	}
	return len(unmet) == 0 && (s.Listed || s.Age >= settleTime), unmet
}

// needsAnswer reports whether the instance must not keep an account yet because another one has not answered. After a restart
// it keeps the accounts of before without those that do not answer, since nobody takes the accounts of a listed instance.
func (s Standing) needsAnswer(i member.Instance) bool {
	switch {
	case i.Incarnation != 0:
		return false
	case s.Listed:
		return i.State != member.Dead && i.Missed == 0 && s.Age < settleTime
	default:
		return i.State != member.Dead || s.Age < abandonTime
	}
}
