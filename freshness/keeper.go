package freshness

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/verdict"
)

const (
	// usedDuration is how long after a statement that needed a proof an instance counts as used.
	usedDuration = 10 * time.Second
	// startWait is how long after the start an instance waits for a first reply of a peer, which may know of a configuration that
	// a restored store lacks.
	startWait = 300 * time.Millisecond
	// startGrace is how long after the start the first proof may take without being reported as missing.
	startGrace = 2 * time.Second
	// isolatedAfter is the time without a reply of any peer from which an instance counts as isolated.
	isolatedAfter = 2 * time.Second
	// storeTimeout bounds how long a question to the store makes no progress, and peerTimeout one to a peer.
	storeTimeout = 700 * time.Millisecond
	peerTimeout  = 250 * time.Millisecond
	// nextPeerPause is after how long without an answer the next peer is asked too; a peer of another region takes some tens of ms.
	nextPeerPause = 60 * time.Millisecond
	// renewWait is how long a statement may wait for a new proof after the last one has become too old; peers answer within some ms.
	renewWait = 100 * time.Millisecond
	renewPoll = 5 * time.Millisecond
	// retryAfter is when a refused caller should try again.
	retryAfter = time.Second
)

var ages = metrics.NewHistogram("siskincove_proof_age_seconds")

// Sources are whom a Keeper asks.
type Sources interface {
	// Rank returns this instance's place, from 0, among the instances that ask the store, and whether it asks peers of other failure
	// domains for its own.
	Rank() (rank int, head bool)
	// Peers returns the addresses of the peers to ask, in order.
	Peers() []string
	// Split reports whether many instances do not answer this one, so that they may have a proof that it can't get.
	Split() bool
	// AskPeer asks the peer at an address; proofs in its answer are passed to Keeper.Record.
	AskPeer(ctx context.Context, address string) error
	// AskStore asks the store; the proof that its answer gives is passed to Keeper.RecordRead.
	AskStore(ctx context.Context) error
}

// Options configure a Keeper.
type Options struct {
	Clock  clock.Service
	Logger *event.Logger
	// Withdrawal returns the time after the acknowledgement of a configuration from which no request of a key that it withdraws
	// may run, 0 if no proofs are needed.
	Withdrawal func() time.Duration
	// InForce returns the operator's version of the configuration in force, 0 for none.
	InForce func() uint64
	Sources Sources
	// OnIsolated is called when the instance has no valid proof and is cut off from instances that may have one and serve its callers,
	// and when that ends. Calls do not overlap.
	OnIsolated func(isolated bool)
}

// Keeper keeps the latest proof up to date.
type Keeper struct {
	options   Options
	startedAt time.Time
	ledger    atomic.Pointer[Ledger]
	// usedAt, heardAt and storeAskedAt are the times, in ns since startedAt, of the last statement that needed a proof, the last
	// reply of a peer, and the last question to the store; negative for none.
	usedAt, heardAt, storeAskedAt atomic.Int64
	// woken holds a value after Wake until the next decision.
	woken chan struct{}
	done  chan struct{}
	asks  sync.WaitGroup

	// mu serializes changes of ledger and protects the fields below.
	mu                 sync.Mutex
	askingStore        bool
	askingPeers        bool
	peersAskedAt       time.Time
	fruitless          int
	refusing, isolated bool
	refusingSince      time.Time
}

// New returns a keeper, which asks for proofs between Start and the end of Start's context.
func New(o Options) *Keeper {
	k := &Keeper{options: o, startedAt: o.Clock.Now(), woken: make(chan struct{}, 1), done: make(chan struct{})}
	k.ledger.Store(&Ledger{})
	for _, at := range []*atomic.Int64{&k.usedAt, &k.heardAt, &k.storeAskedAt} {
		at.Store(-1)
	}
	return k
}

// Start starts to ask for proofs until ctx ends.
func (k *Keeper) Start(ctx context.Context) {
	go func() {
		defer close(k.done)
		k.run(ctx)
		k.asks.Wait()
	}()
}

// Done returns a channel that is closed when the keeper's goroutines have ended.
func (k *Keeper) Done() <-chan struct{} { return k.done }

// Wake makes the keeper decide anew, as after a change of the configuration or the settings.
func (k *Keeper) Wake() {
	select {
	case k.woken <- struct{}{}:
	default:
	}
}

// Check returns nil if a statement that has been read may run with the keys of any configuration that is looked up after the call,
// and otherwise why not. If the proof has just become too old, as after a suspension, it waits briefly for the next one.
func (k *Keeper) Check() *verdict.Error {
	started := k.options.Clock.Now()
	refused := k.check()
	for refused != nil && k.options.Clock.Now().Sub(started) < renewWait && !k.knownToRefuse() {
		<-k.options.Clock.After(renewPoll)
		refused = k.check()
	}
	return refused
}

func (k *Keeper) check() *verdict.Error {
	withdrawal := k.options.Withdrawal()
	if withdrawal == 0 {
		return nil
	}
	now := k.options.Clock.Now()
	mark(&k.usedAt, now.Sub(k.startedAt))
	proof, proven := k.usable(now)
	if proven && proof.Age(now) < NewLimits(withdrawal).Serve {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.Unproven, "no proof that the configuration is the newest%s", describe(proof, proven, now)).
		WithRetryAfter(retryAfter)
}

// knownToRefuse reports whether the instance has refused statements for so long that a new proof isn't expected at once. It makes the
// keeper ask for one if that has not noticed yet.
func (k *Keeper) knownToRefuse() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.refusing {
		k.Wake()
		return false
	}
	return k.options.Clock.Now().Sub(k.refusingSince) >= renewWait
}

func describe(p Proof, proven bool, now time.Time) string {
	if !proven {
		return ""
	}
	return fmt.Sprintf(" for %s", p.Age(now).Round(time.Millisecond))
}

// Ready reports whether the instance is able to serve callers for some time.
func (k *Keeper) Ready() bool {
	withdrawal := k.options.Withdrawal()
	if withdrawal == 0 {
		return true
	}
	now := k.options.Clock.Now()
	proof, proven := k.usable(now)
	return proven && proof.Age(now) < NewLimits(withdrawal).Ready
}

// Claim returns the latest proof and its age for a peer, and false if there is none or none is needed. The version of the
// configuration in force is at least that of the proof if it is read after the call.
func (k *Keeper) Claim() (Proof, time.Duration, bool) {
	if k.options.Withdrawal() == 0 {
		return Proof{}, 0, false
	}
	now := k.options.Clock.Now()
	proof, proven := k.usable(now)
	return proof, proof.Age(now), proven
}

// usable returns the proof that is valid for the configuration in force.
func (k *Keeper) usable(now time.Time) (Proof, bool) {
	if k.heardAt.Load() < 0 && now.Sub(k.startedAt) < startWait {
		return Proof{}, false
	}
	return k.ledger.Load().Usable(k.options.InForce())
}

// RecordReply records that a peer has answered.
func (k *Keeper) RecordReply() { mark(&k.heardAt, k.options.Clock.Now().Sub(k.startedAt)) }

// Record records a proof that a peer's reply contained. Its time is when this instance sent the request, less the age that the
// peer stated.
func (k *Keeper) Record(p Proof) {
	k.change(func(l Ledger, inForce uint64, _ time.Time) Ledger { return l.With(p, inForce) })
}

// RecordRead records the proof by an answer of the store in an era to a question that was sent at the proof's time.
func (k *Keeper) RecordRead(p Proof, era uint64) {
	mark(&k.storeAskedAt, p.At.Sub(k.startedAt))
	k.change(func(l Ledger, inForce uint64, now time.Time) Ledger { return l.WithRead(p, era, inForce, now) })
}

// RecordEra records the store's era as a peer reports it.
func (k *Keeper) RecordEra(era uint64) {
	k.change(func(l Ledger, _ uint64, now time.Time) Ledger { return l.WithEra(era, now) })
}

func (k *Keeper) change(next func(l Ledger, inForce uint64, now time.Time) Ledger) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, inForce := k.options.Clock.Now(), k.options.InForce()
	before := k.ledger.Load()
	after := next(*before, inForce, now)
	old, known := before.Usable(inForce)
	if latest, _ := after.Usable(inForce); known && latest.At.After(old.At) {
		ages.Update(old.Age(now).Seconds())
	}
	k.ledger.Store(&after)
	if k.refusing {
		k.Wake()
	}
}

// mark moves a time forward.
func mark(at *atomic.Int64, to time.Duration) {
	for old := at.Load(); int64(to) > old && !at.CompareAndSwap(old, int64(to)); old = at.Load() {
		continue
	}
}

// run asks for proofs until ctx ends.
func (k *Keeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		withdrawal := k.options.Withdrawal()
		if withdrawal == 0 {
			k.setState(false, false, log.Fields{})
			select {
			case <-ctx.Done():
			case <-k.woken:
			}
			continue
		}
		s := k.situation(NewLimits(withdrawal))
		k.observe(s)
		switch decision := Decide(s); decision.Target {
		case Store:
			k.askStore(ctx)
		case Peers:
			k.askPeers(ctx, s.recent())
		default:
			select {
			case <-ctx.Done():
			case <-k.woken:
			case <-k.options.Clock.After(decision.Wait):
			}
		}
	}
}

// situation returns the current input of Decide.
func (k *Keeper) situation(limits Limits) Situation {
	now := k.options.Clock.Now()
	proof, proven := k.usable(now)
	s := Situation{
		Starting: k.options.InForce() == 0, Proven: proven, Age: proof.Age(now), Limits: limits, Used: k.within(&k.usedAt, now, usedDuration),
	}
	s.Rank, s.Head = k.options.Sources.Rank()
	s.Alone = !k.within(&k.heardAt, now, isolatedAfter)
	k.mu.Lock()
	defer k.mu.Unlock()
	s.Store = Inquiry{Open: k.askingStore, Since: now.Sub(k.startedAt) - time.Duration(k.storeAskedAt.Load())}
	s.Peers = Inquiry{Open: k.askingPeers, Since: now.Sub(k.peersAskedAt)}
	s.Fruitless = k.fruitless
	return s
}

// within reports whether a marked time is not longer ago than d.
func (k *Keeper) within(at *atomic.Int64, now time.Time, d time.Duration) bool {
	marked := at.Load()
	return marked >= 0 && now.Sub(k.startedAt)-time.Duration(marked) <= d
}

// observe determines whether the instance refuses statements and is isolated.
func (k *Keeper) observe(s Situation) {
	starting := s.Starting || !s.Proven && k.options.Clock.Now().Sub(k.startedAt) < startGrace
	refuses := !starting && (!s.Proven || s.Age >= s.Limits.Serve)
	fields := log.Fields{"version": k.options.InForce(), "rank": s.Rank}
	if s.Proven {
		fields["age"] = s.Age.String()
	}
	// After a suspension no peer has answered for some time, but one will.
	asked := s.Fruitless > 0
	k.setState(refuses, refuses && asked && (s.Alone || k.options.Sources.Split()), fields)
}

// setState records and logs when the instance starts or stops to refuse statements, and reports when it becomes isolated or stops
// to be.
func (k *Keeper) setState(refuses, isolated bool, fields log.Fields) {
	k.mu.Lock()
	refused, wasIsolated := k.refusing, k.isolated
	if refuses && !refused {
		k.refusingSince = k.options.Clock.Now()
	}
	k.refusing, k.isolated = refuses, isolated
	k.mu.Unlock()
	fields["isolated"] = isolated
	switch {
	case refuses && (!refused || isolated != wasIsolated):
		k.options.Logger.Log(event.ProofLost, fields)
	case refused && !refuses:
		k.options.Logger.Log(event.ProofRegained, fields)
	}
	if isolated != wasIsolated {
		k.options.OnIsolated(isolated)
	}
}
