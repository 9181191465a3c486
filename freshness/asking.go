package freshness

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskincove/store"
)

// askStore asks the store in the background.
func (k *Keeper) askStore(ctx context.Context) {
	mark(&k.storeAskedAt, k.options.Clock.Now().Sub(k.startedAt))
	k.setAsking(&k.askingStore, true)
	k.asks.Go(func() {
		defer k.Wake()
		defer k.setAsking(&k.askingStore, false)
		defer k.options.Logger.Contain("freshness")
		ctx, cancel := store.WithProgress(ctx, storeTimeout)
		defer cancel()
		count(Store, k.options.Sources.AskStore(ctx) == nil)
	})
}

// askPeers asks one peer after the other in the background, until there is a recent proof.
func (k *Keeper) askPeers(ctx context.Context, recent time.Duration) {
	k.mu.Lock()
	k.askingPeers, k.peersAskedAt = true, k.options.Clock.Now()
	k.mu.Unlock()
	k.asks.Go(func() {
		defer k.Wake()
		defer k.setAsking(&k.askingPeers, false)
		defer k.options.Logger.Contain("freshness")
		found := k.askInTurn(ctx, k.options.Sources.Peers(), recent)
		count(Peers, found)
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.fruitless++; found {
			k.fruitless = 0
		}
	})
}

// askInTurn asks the peers in turn and reports whether there is a recent proof then. It goes on to the next one if a peer does not answer
// within nextPeerPause, as over connections that broke during a suspension, and still takes its answer.
func (k *Keeper) askInTurn(ctx context.Context, peers []string, recent time.Duration) bool {
	answers, open := make(chan bool, len(peers)), 0
	for _, address := range peers {
		open++
		k.asks.Go(func() {
			found := false
			defer func() { answers <- found }()
			defer k.options.Logger.Contain("freshness")
			found = k.askPeer(ctx, address, recent)
		})
		select {
		case found := <-answers:
			if open--; found {
				return true
			}
		case <-k.options.Clock.After(nextPeerPause):
		}
	}
	for ; open > 0; open-- {
		if <-answers {
			return true
		}
	}
	return false
}

// askPeer asks a peer and reports whether there is a recent proof then.
func (k *Keeper) askPeer(ctx context.Context, address string, recent time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if k.options.Sources.AskPeer(ctx, address) != nil {
		return false
	}
	now := k.options.Clock.Now()
	proof, proven := k.usable(now)
	return proven && proof.Age(now) < recent
}

func (k *Keeper) setAsking(asking *bool, value bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	*asking = value
}

// count counts the questions to a target by whether they brought a proof.
func count(t Target, found bool) {
	outcome := "none"
	if found {
		outcome = "proof"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskincove_proof_asks_total{from=%q,outcome=%q}`, t, outcome)).Inc()
}
