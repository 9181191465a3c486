package hosted

import (
	"siskincove/database"
	"siskincove/endpoint"
	"siskincove/peer"
	"siskincove/peer/wire"
)

// acknowledgementsFor returns the messages about the highest acknowledged positions of the databases in which promotions may be
// outstanding. The promotions must have been recorded before: what an endpoint acknowledges from then on is not passed on as a success.
func (i *Instance) acknowledgementsFor(promotions []*wire.Promotion) []*wire.Acknowledgement {
	var out []*wire.Acknowledgement
	now := i.options.Clock.Now()
	asked := make(map[string]struct{})
	for _, p := range promotions {
		if _, done := asked[p.GetDatabase()]; done || p.GetEnded() || len(out) >= maxPromotions {
			continue
		}
		asked[p.GetDatabase()] = struct{}{}
		d, known := i.databases.Get(p.GetDatabase())
		if !known {
			continue
		}
		if a := d.View().HighestAcknowledgement(now); a.Position != (endpoint.Position{}) {
			out = append(out, &wire.Acknowledgement{Database: d.Name(), Position: peer.ToPosition(a.Position), Age: peer.Micros(now.Sub(a.At))})
		}
	}
	return out
}

// recordAcknowledgement records what a peer told of acknowledged writes. The message may have been delayed, so they may count for too
// long, but not for too short a time.
func (i *Instance) recordAcknowledgement(d *database.Database, a *wire.Acknowledgement) {
	d.RecordPeerAcknowledged(peer.FromPosition(a.GetPosition()), i.options.Clock.Now().Add(-peer.Duration(a.GetAge())))
}
