package freshness

import "time"

// Ages of a proof, as shares of the withdrawal bound or of the limit that follows from it.
const (
	// limitShare is the share of the withdrawal bound from which no statement runs.
	limitShare = 0.95
	// readyShare is the share of the limit from which no further callers are wanted: the platform needs two checks of readiness, a
	// second apart, to stop sending them.
	readyShare = 0.8
	// idleShare is the share of the limit from which an instance without callers asks for a newer proof.
	idleShare = 0.5
	// headShare is the share of the limit from which the head of a failure domain asks its peers, and askShare the one from which the
	// others of that domain ask it. An outage of the store is to be bridged for 0.6 of the bound, so they must stay below a third.
	headShare = 0.24
	askShare  = 0.32
	// standInShare is the share of the limit from which the next instance asks the store too, and stepShare what is added before each
	// further one does.
	standInShare = 0.36
	stepShare    = 0.03
	// intervalShare is the time between two questions to the store of the instance that asks it for all, as a share of the limit.
	intervalShare = 0.2
)

const (
	// askPause and maxAskPause bound the time between two rounds of questions to peers, doubled while they bring nothing.
	askPause    = 100 * time.Millisecond
	maxAskPause = 800 * time.Millisecond
	// maxDoublings is how often askPause is doubled until it reaches maxAskPause.
	maxDoublings = 3
	// maxWait is the longest time until the next decision.
	maxWait = time.Second
)

// Provers is how many instances are ranked for asking the store.
const Provers = 16

// Limits are the ages of a proof that follow from the withdrawal bound.
type Limits struct {
	// Serve is the age from which statements are refused, Ready the one from which the instance is not ready for callers.
	Serve, Ready time.Duration
}

// NewLimits returns the limits for the time after which no request of a withdrawn key may run.
func NewLimits(withdrawal time.Duration) Limits {
	serve := share(withdrawal, limitShare)
	return Limits{Serve: serve, Ready: share(serve, readyShare)}
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// Target is whom to ask for a proof.
type Target int

const (
	// Nobody is to be asked yet.
	Nobody Target = iota
	// Peers are to be asked one after the other, until one has a recent proof.
	Peers
	// Store is to be asked.
	Store
)

// String returns the target's name in metrics.
func (t Target) String() string { return [...]string{"nobody", "peers", "store"}[t] }

// Inquiry is the state of the questions to one target.
type Inquiry struct {
	// Open is set while a question is not answered yet.
	Open bool
	// Since is the time since the last question was asked.
	Since time.Duration
}

// Situation is what the choice of whom to ask depends on.
type Situation struct {
	// Starting is set until a configuration is in force, which is read from the store or taken from a peer.
	Starting bool
	// Proven is set if there is a proof, whose age is Age.
	Proven bool
	Age    time.Duration
	Limits Limits
	// Used is set if callers have needed a proof recently.
	Used bool
	// Rank is this instance's place, from 0, among the Provers instances that ask the store, and Provers for all others. Head is set
	// if it asks peers of other failure domains for its own.
	Rank int
	Head bool
	// Alone is set if no peer has answered lately, so that it has to ask the store whatever its rank.
	Alone bool
	Store Inquiry
	Peers Inquiry
	// Fruitless counts the latest rounds of questions to peers that brought no recent proof.
	Fruitless int
}

// Decision is whom to ask now, or if that is Nobody, when to decide again.
type Decision struct {
	Target Target
	Wait   time.Duration
}

// Decide returns whom to ask. One instance asks the store at a steady pace. The heads of the failure domains ask that one, and the
// others their head. An instance asks the store too when its proof is too old although it has asked its peers, each one later and more
// rarely than the one that ranks before it, so that a store that answers nobody is not asked by all.
func Decide(s Situation) Decision {
	if s.Starting {
		return Decision{Wait: askPause}
	}
	store, peers := s.untilStore(), s.untilPeers()
	switch {
	case store <= 0:
		return Decision{Target: Store}
	case peers <= 0:
		return Decision{Target: Peers}
	default:
		return Decision{Wait: min(store, peers, maxWait)}
	}
}

// untilStore returns the time until the store is to be asked.
func (s Situation) untilStore() time.Duration {
	rank := s.Rank
	if s.Alone {
		rank = min(rank, 1)
	}
	pause := share(s.Limits.Serve, intervalShare)*time.Duration(rank+1) - s.Store.Since
	switch {
	case s.Store.Open, rank >= Provers:
		return maxWait
	case rank == 0:
		return pause
	default:
		return max(pause, s.untilAge(share(s.Limits.Serve, min(standInShare+stepShare*float64(rank-1), readyShare))))
	}
}

// untilPeers returns the time until the peers are to be asked.
func (s Situation) untilPeers() time.Duration {
	if s.Peers.Open {
		return maxWait
	}
	age := s.recent()
	if !s.Used && !s.Head {
		age = max(age, share(s.Limits.Serve, idleShare))
	}
	pause := min(askPause<<min(s.Fruitless, maxDoublings), maxAskPause)
	return max(pause-s.Peers.Since, s.untilAge(age))
}

// recent returns the age below which a proof needs no newer one.
func (s Situation) recent() time.Duration {
	if s.Head {
		return share(s.Limits.Serve, headShare)
	}
	return share(s.Limits.Serve, askShare)
}

// untilAge returns the time until the proof has an age; without a proof, none.
func (s Situation) untilAge(age time.Duration) time.Duration {
	if !s.Proven {
		return 0
	}
	return age - s.Age
}
