package hosted

import (
	"math/rand/v2"
	"time"

	"siskincove/database"
	"siskincove/endpoint"
	"siskincove/group"
	"siskincove/peer"
	"siskincove/peer/wire"
)

// maxPromotions bounds the promotions in a heartbeat. The databases that are left out differ between heartbeats.
const maxPromotions = 64

// promotions returns the messages about promotions that other instances may need to know of.
func (i *Instance) promotions() []*wire.Promotion {
	var out []*wire.Promotion
	for _, d := range rotated(i.databases.WithPromotions(), rand.IntN) {
		of := i.promotionsOf(d)
		out = append(out, of[:min(len(of), maxPromotions-len(out))]...)
	}
	return out
}

// promotionsOf returns the messages about a database's promotions that other instances may need to know of.
func (i *Instance) promotionsOf(d *database.Database) []*wire.Promotion {
	var out []*wire.Promotion
	now := i.options.Clock.Now()
	for _, p := range d.View().Promotions() {
		if p.WorthTelling(now) {
			out = append(out, promotionMessage(d.Name(), p, now))
		}
	}
	return out
}

func promotionMessage(database string, p group.Promotion, now time.Time) *wire.Promotion {
	return &wire.Promotion{
		Database: database, Fence: p.Fence, Term: uint64(p.Term), Newest: uint64(p.Newest), Replaced: p.Replaced, Target: p.Target, Ended: p.Ended,
		Settled: p.Settled, Age: peer.Micros(now.Sub(p.At)),
	}
}

// recordPromotion records what a peer told of a promotion. The message may have been delayed, so the promotion may count as outstanding
// for too long, but not for too short a time.
func (i *Instance) recordPromotion(d *database.Database, p *wire.Promotion) {
	d.RecordPromotion(group.Promotion{
		Fence: p.GetFence(), Term: endpoint.FencedTerm(p.GetTerm()), Newest: endpoint.FencedTerm(p.GetNewest()), Replaced: p.GetReplaced(),
		Target: p.GetTarget(), Ended: p.GetEnded(), Settled: p.GetSettled(), At: i.options.Clock.Now().Add(-peer.Duration(p.GetAge())),
	})
}
