package succession

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/store"
)

const (
	// memberCallTimeout bounds a call to the store.
	memberCallTimeout = 1500 * time.Millisecond
	// memberRetryMin and memberRetryMax bound the backoff after a failed call.
	memberRetryMin = 500 * time.Millisecond
	memberRetryMax = 4 * time.Second
	// maxCreateDelay spreads the first writes of the coordinators of many databases.
	maxCreateDelay = 2 * time.Second
)

// memberKeeper keeps a database's row in memberTable, so that a coordinator knows after a restart which endpoints may hold
// acknowledged commits. The calls to the store run in a goroutine of its own, so that a succession never waits for them.
type memberKeeper struct {
	options  Options
	database string
	woken    chan struct{}
	done     chan struct{}

	mu     sync.Mutex
	row    memberRow
	demand memberDemand
	// demanded is set once demand is valid.
	demanded bool
	// unseen is set while the coordinator has not taken the list that was read last; nothing is written meanwhile. taken is set
	// between takeRead and the demand that follows it.
	unseen, taken bool
	failing       bool
	// read is closed, and replaced, after each read of the row.
	read chan struct{}
}

func startMemberKeeper(ctx context.Context, o Options, database string) *memberKeeper {
	k := &memberKeeper{options: o, database: database, woken: make(chan struct{}, 1), done: make(chan struct{}), read: make(chan struct{})}
	k.demand.createDelay = rand.N(maxCreateDelay)
	go k.run(ctx)
	return k
}

// takeRead returns the endpoints and the last primary in the row if it was read since the last call.
func (k *memberKeeper) takeRead() ([]config.Endpoint, lastPrimary, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.unseen {
		return nil, lastPrimary{}, false
	}
	k.taken = true
	return k.row.list.endpoints, k.row.lead, true
}

// requestRead has the row read again and returns a channel that is closed once that is done.
func (k *memberKeeper) requestRead() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.row.known = false
	k.wake()
	return k.read
}

// wake lets run look for its next task.
func (k *memberKeeper) wake() {
	select {
	case k.woken <- struct{}{}:
	default:
	}
}

// setDemand replaces what the row is to list.
func (k *memberKeeper) setDemand(registered, all memberList, lead lastPrimary, rank int, era uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d := memberDemand{registered: registered, all: all, lead: lead, rank: rank, era: era, since: k.demand.since, createDelay: k.demand.createDelay}
	if !k.demanded || !d.all.equal(k.demand.all) || !d.registered.equal(k.demand.registered) {
		d.since = k.options.Clock.Now()
	}
	if rank == 0 && k.demand.rank != 0 {
		// Another coordinator was the first and may have written the row.
		k.row.known = false
	}
	k.demand, k.demanded = d, true
	if k.taken {
		k.unseen, k.taken = false, false
	}
	k.wake()
}

func (k *memberKeeper) next() (memberTask, memberList, memberDemand) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.demanded || k.unseen {
		return noTask, memberList{}, k.demand
	}
	task, list := k.row.next(k.demand, k.options.Clock.Now())
	return task, list, k.demand
}

// run reads and writes the row as the demand requires until ctx ends.
func (k *memberKeeper) run(ctx context.Context) {
	defer close(k.done)
	backoff := memberRetryMin
	for ctx.Err() == nil {
		task, list, demand := k.next()
		var err error
		switch task {
		case readTask:
			err = k.readRow(ctx, demand)
		case writeTask:
			err = k.write(ctx, list, demand.lead)
		case noTask:
			select {
			case <-ctx.Done():
			case <-k.woken:
			}
			continue
		}
		k.logFailure(ctx, err)
		if err == nil {
			backoff = memberRetryMin
			continue
		}
		_ = clock.Wait(ctx, k.options.Clock, backoff)
		backoff = min(2*backoff, memberRetryMax)
	}
}

func (k *memberKeeper) key() store.Key { return store.Key{Table: memberTable, Key: k.database} }

func (k *memberKeeper) readRow(ctx context.Context, demand memberDemand) error {
	ctx, cancel := context.WithTimeout(ctx, memberCallTimeout)
	defer cancel()
	sent := k.options.Clock.Now()
	stored, err := store.Get(ctx, k.options.Rows, k.key())
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return errors.Wrap(err, "reading the members")
	}
	row := memberRow{version: stored.Version, known: true, readAt: sent, era: demand.era}
	if err == nil {
		if row.list, row.lead, err = decodeMemberList(k.database, stored.Value); err != nil {
			// The row is replaced by one that can be read.
			k.options.Logger.Log(event.MembersFailed, log.Fields{"database": k.database, "error": err.Error()})
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.row, k.unseen, k.taken = row, true, false
	close(k.read)
	k.read = make(chan struct{})
	return nil
}

// write stores a list, and the last known primary if it is later than the stored one, unless the row has changed since it was read. It is
// read again unless the outcome is known.
func (k *memberKeeper) write(ctx context.Context, list memberList, lead lastPrimary) error {
	k.mu.Lock()
	row := k.row
	k.mu.Unlock()
	if lead.replaces(row.lead) {
		row.lead = lead
	}
	value, err := list.encode(row.lead)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, memberCallTimeout)
	defer cancel()
	row.readAt = k.options.Clock.Now()
	version, err := k.options.Rows.Commit(ctx, store.Transaction{
		Expect: []store.Expectation{{Key: k.key(), Version: row.version}}, Puts: []store.Row{{Key: k.key(), Value: value}},
	})
	row.list, row.version = list, version
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err == nil:
		k.row = row
		k.options.Logger.Log(event.MembersStored, log.Fields{"database": k.database, "endpoints": len(list.endpoints), "lead": row.lead.endpoint, "row": version})
		return nil
	case errors.Is(err, store.ErrRejected):
	default:
		k.row.known = false
	}
	return errors.Wrap(err, "writing the members")
}

// logFailure logs the first of several failed calls.
func (k *memberKeeper) logFailure(ctx context.Context, err error) {
	if err != nil && !k.failing && ctx.Err() == nil && !errors.Is(err, store.ErrConflict) {
		k.options.Logger.Log(event.MembersFailed, log.Fields{"database": k.database, "error": err.Error()})
	}
	k.failing = err != nil
}
