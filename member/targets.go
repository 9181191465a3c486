package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskincove/config"
	"siskincove/meter"
)

const (
	// partnerCount is how many instances each instance sends heartbeats to, in turn. nearPartnerCount of them are in its
	// own region and domainPartnerCount of these in its own failure domain, as far as there are that many, since traffic
	// between them is dear; the others carry news between regions and domains.
	partnerCount       = 8
	nearPartnerCount   = 6
	domainPartnerCount = 5
	// farSenders is how many instances of a region send heartbeats to other regions as often as to their own, and how many of
	// a failure domain to the region's other domains. In larger ones each instance does so more rarely, so that the traffic
	// does not grow with them; within a domain news spread in a few periods.
	farSenders = 8
	// fanout is how many heartbeats are sent to partners each period.
	fanout = 3
	// maxUrgent bounds the urgent heartbeats in one period.
	maxUrgent = 16
)

// Targets returns the instances to send heartbeats to in this period: the urgent ones, some partners in turn, one that takes
// part in the placement unproven and, now and then, a dead one.
func (t *Table) Targets(now time.Time) []Instance {
	var out []Instance
	chosen := make(map[string]bool)
	add := func(i Instance) {
		if !chosen[i.ID] {
			chosen[i.ID] = true
			out = append(out, i)
		}
	}
	for _, id := range t.urgentIDs(now) {
		add(t.instances[id])
	}
	partners := t.partners()
	for range min(fanout, len(partners)) {
		partner := partners[t.nextPartner%len(partners)]
		t.nextPartner++
		if t.takeTurn(t.distance(partner)) {
			add(partner)
		}
	}
	if i, ok := t.nextPresumed(); ok {
		add(i)
	}
	for id, i := range t.instances {
		if i.State == Dead && now.Sub(i.Since) > deadRetryInterval {
			t.instances[id] = i.withRetryAt(now)
			add(i)
			break
		}
	}
	return out
}

// isNear reports whether an instance is in this one's region.
func (t *Table) isNear(i Instance) bool {
	return config.Region(i.Domain) == config.Region(t.self.Domain)
}

// distance returns how far an instance is from this one.
func (t *Table) distance(i Instance) meter.Distance {
	return meter.DistanceBetween(t.self.Domain, i.Domain)
}

// takeTurn reports whether a heartbeat to a partner at a distance is sent in its turn: always within the failure domain or if at
// most farSenders instances share the traffic over that distance, and else as often as keeps their total at that number.
func (t *Table) takeTurn(d meter.Distance) bool {
	if d == meter.SameDomain {
		return true
	}
	sharing := 1
	for _, i := range t.instances {
		if i.State != Dead && (t.distance(i) == meter.SameDomain || d == meter.OtherRegion && t.isNear(i)) {
			sharing++
		}
	}
	period := (sharing + farSenders - 1) / farSenders
	turn, started := t.turns[d]
	if !started {
		// Instances that start together take different turns.
		turn = int(xxhash.Sum64String(t.self.ID) % uint64(period))
	}
	t.turns[d] = turn + 1
	if turn+1 < period {
		return false
	}
	t.turns[d] = 0
	return true
}

// pushTargets returns the partners that get news at once. Those in other domains and regions get them from
// about as many instances as would send them heartbeats.
func (t *Table) pushTargets() []Instance {
	return slices.DeleteFunc(t.partners(), func(i Instance) bool { return !t.takeTurn(t.distance(i)) })
}

// withRetryAt returns a copy whose pause until the next heartbeat to a dead instance starts now.
func (i Instance) withRetryAt(now time.Time) Instance {
	i.Since = now
	return i
}

// urgentIDs returns the instances to probe urgently in this period. They are taken in an order that starts after this
// instance's own ID, so that instances that start together do not all probe the same ones.
func (t *Table) urgentIDs(now time.Time) []string {
	ids := make([]string, 0, len(t.urgent))
	for id, due := range t.urgent {
		if !due.After(now) {
			ids = append(ids, id)
		}
	}
	ids = t.afterSelf(ids)
	return ids[:min(len(ids), maxUrgent)]
}

// afterSelf sorts IDs in an order that starts after this instance's own ID.
func (t *Table) afterSelf(ids []string) []string {
	slices.Sort(ids)
	first, _ := slices.BinarySearch(ids, t.self.ID)
	return slices.Concat(ids[first:], ids[:first])
}

// nextPresumed returns an unproven instance of this one's failure domain that takes part in the placement, and false if there is
// none. Its partners, and for other instances those in their own domain, find out sooner if one does not answer, and gossip that.
func (t *Table) nextPresumed() (Instance, bool) {
	var ids []string
	for id, i := range t.instances {
		if i.State == Unproven && t.placed(i) && t.distance(i) == meter.SameDomain {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return Instance{}, false
	}
	return t.instances[t.afterSelf(ids)[0]], true
}

// partners returns the instances, except dead ones, that rank highest for this one. Each instance thus probes a few others
// and is probed by a few, however many there are.
func (t *Table) partners() []Instance {
	if t.partnerIDs == nil {
		t.partnerIDs = t.rankPartners()
	}
	out := make([]Instance, 0, len(t.partnerIDs))
	for _, id := range t.partnerIDs {
		out = append(out, t.instances[id])
	}
	return out
}

// rankPartners returns the IDs of the partners, distant ones spread evenly among the others.
func (t *Table) rankPartners() []string {
	byDistance := make(map[meter.Distance][]Instance)
	for _, i := range t.instances {
		if i.State != Dead {
			byDistance[t.distance(i)] = append(byDistance[t.distance(i)], i)
		}
	}
	domain, region := Rank(t.self.ID, byDistance[meter.SameDomain]), Rank(t.self.ID, byDistance[meter.SameRegion])
	far := Rank(t.self.ID, slices.Concat(byDistance[meter.OtherRegion], byDistance[meter.UnknownDistance]))
	far = far[:min(len(far), max(partnerCount-nearPartnerCount, partnerCount-len(domain)-len(region)))]
	nearCount := partnerCount - len(far)
	region = region[:min(len(region), max(nearCount-domainPartnerCount, nearCount-len(domain)))]
	domain = domain[:min(len(domain), nearCount-len(region))]
	all := spreadAmong(spreadAmong(domain, region), far)
	ids := make([]string, 0, len(all))
	for _, i := range all {
		ids = append(ids, i.ID)
	}
	return ids
}

// spreadAmong returns all instances in their order, the rare ones spread evenly among the others.
func spreadAmong(others, rare []Instance) []Instance {
	total, rareCount := len(others)+len(rare), len(rare)
	out := make([]Instance, 0, total)
	for n := range total {
		if (n+1)*rareCount/total > n*rareCount/total {
			out, rare = append(out, rare[0]), rare[1:]
		} else {
			out, others = append(out, others[0]), others[1:]
		}
	}
	return out
}
