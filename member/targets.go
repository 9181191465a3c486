package member

import (
	"slices"
	"time"

	"siskincove/config"
)

const (
	// partnerCount is how many instances each instance sends heartbeats to, in turn. nearPartnerCount of them are in its
	// own region, as far as there are that many, since traffic between regions is dear; the others carry news between
	// regions.
	partnerCount     = 8
	nearPartnerCount = 6
	// farSenders is how many instances of a region send heartbeats to other regions as often as to their own. In larger regions
	// each one does so more rarely, so that the traffic between regions does not grow with them; within a region news spread
	// in a few periods.
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
	for _, id := range t.urgentIDs() {
		add(t.instances[id])
	}
	partners := t.partners()
	for range min(fanout, len(partners)) {
		partner := partners[t.nextPartner%len(partners)]
		t.nextPartner++
		if t.isNear(partner) || t.takeFarTurn() {
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

// takeFarTurn reports whether a heartbeat to a partner in another region is sent in its turn: always if the region has at most
// farSenders instances, and else as often as keeps the region's total at that number.
func (t *Table) takeFarTurn() bool {
	near := 1
	for _, i := range t.instances {
		if i.State != Dead && t.isNear(i) {
			near++
		}
	}
	if t.farTurns > 0 && t.farTurns*farSenders < near {
		t.farTurns++
		return false
	}
	t.farTurns = 1
	return true
}

// withRetryAt returns a copy whose pause until the next heartbeat to a dead instance starts now.
func (i Instance) withRetryAt(now time.Time) Instance {
	i.Since = now
	return i
}

// urgentIDs returns the instances to probe urgently in this period. They are taken in an order that starts after this
// instance's own ID, so that instances that start together do not all probe the same ones.
func (t *Table) urgentIDs() []string {
	ids := make([]string, 0, len(t.urgent))
	for id := range t.urgent {
		ids = append(ids, id)
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

// nextPresumed returns an unproven instance of this one's region that takes part in the placement, and false if there is none.
// Its partners, and for distant instances those in their own region, find out sooner if one does not answer, and gossip that.
func (t *Table) nextPresumed() (Instance, bool) {
	var ids []string
	for id, i := range t.instances {
		if i.State == Unproven && t.placed(i) && t.isNear(i) {
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

// rankPartners returns the IDs of the partners, those in other regions spread evenly among the others.
func (t *Table) rankPartners() []string {
	var near, far []Instance
	for _, i := range t.instances {
		switch {
		case i.State == Dead:
		case t.isNear(i):
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	near, far = Rank(t.self.ID, near), Rank(t.self.ID, far)
	farCount := min(len(far), max(partnerCount-nearPartnerCount, partnerCount-len(near)))
	near, far = near[:min(len(near), partnerCount-farCount)], far[:farCount]
	total := len(near) + len(far)
	ids := make([]string, 0, total)
	for n := range total {
		if (n+1)*farCount/total > n*farCount/total {
			ids, far = append(ids, far[0].ID), far[1:]
		} else {
			ids, near = append(ids, near[0].ID), near[1:]
		}
	}
	return ids
}
