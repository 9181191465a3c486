package member

import (
	"fmt"
	"testing"
	"time"

	"siskincove/meter"
)

// deployment runs the tables of many instances in rounds, without a network, and counts what they send.
type deployment struct {
	now    time.Time
	tables map[string]*Table
	// down holds the instances that don't answer.
	down map[string]bool
	// heartbeats counts requests and replies by their distance, rumours the rumours in them.
	heartbeats map[meter.Distance]int
	rumours    int
}

// startDeployment returns size instances in three regions of two domains, which have all read the same roster.
func startDeployment(size int) *deployment {
	d := &deployment{now: epoch, tables: make(map[string]*Table), down: make(map[string]bool)}
	d.resetCounts()
	var roster []Instance
	for n := range size {
		roster = append(roster, Instance{
			ID: fmt.Sprintf("i%03d", n), Address: fmt.Sprintf("10.0.0.%d:1", n), Domain: fmt.Sprintf("r%d/d%d", n%3, n%6), Incarnation: 1,
		})
	}
	for _, i := range roster {
		d.add(i, roster)
	}
	return d
}

func (d *deployment) add(i Instance, roster []Instance) {
	table := NewTable(i)
	table.PresumeUnproven()
	table.ApplyRoster(roster, d.now)
	d.tables[i.ID] = table
}

// run runs rounds of heartbeats.
func (d *deployment) run(rounds int) {
	ids := make([]string, 0, len(d.tables))
	for id := range d.tables {
		ids = append(ids, id)
	}
	for range rounds {
		d.now = d.now.Add(700 * time.Millisecond)
		for _, id := range ids {
			if d.down[id] {
				continue
			}
			for _, target := range d.tables[id].Targets(d.now) {
				d.exchange(d.tables[id], target)
			}
		}
	}
}

func (d *deployment) exchange(from *Table, target Instance) {
	to, ok := d.tables[target.ID]
	distance := from.distance(target)
	request := from.NextRumours()
	d.count(distance, request)
	if !ok || d.down[target.ID] {
		from.Missed(target.ID, d.now)
		return
	}
	to.Answered(from.Self(), false, d.now)
	to.ApplyRumours(request, d.now)
	reply := to.NextRumours()
	d.count(distance, reply)
	from.Answered(to.Self(), false, d.now)
	from.ApplyRumours(reply, d.now)
}

func (d *deployment) count(distance meter.Distance, rumours []Rumour) {
	d.heartbeats[distance]++
	d.rumours += len(rumours)
}

// disagreeing returns how many running instances differ from placed about whether an instance takes part in the placement.
func (d *deployment) disagreeing(id string, placed bool) int {
	out := 0
	for self, table := range d.tables {
		i, known := table.instances[id]
		if self != id && !d.down[self] && (known && table.placed(i)) != placed {
			out++
		}
	}
	return out
}

// resetCounts forgets what was sent so far.
func (d *deployment) resetCounts() { d.heartbeats, d.rumours = make(map[meter.Distance]int), 0 }

// TestTrafficOfStart guards against heartbeats between regions and between failure domains, and rumours, that grow with the square
// of the instances while all of them start from the same roster: only their own failure domains tell that they are alive.
func TestTrafficOfStart(t *testing.T) {
	const rounds = 70
	d := startDeployment(144)
	d.run(rounds)
	if limit := 144 * (144/6 - 1) * rumourRepeats; d.rumours > limit {
		t.Errorf("%d rumours were sent, want at most %d, those within failure domains", d.rumours, limit)
	}
	// Each region and each domain sends as many as farSenders instances would, of which each has a request and a reply.
	perPartner := 1.1 * 2 * rounds * farSenders * float64(fanout) / partnerCount
	if limit := int(3 * (partnerCount - nearPartnerCount) * perPartner); d.heartbeats[meter.OtherRegion] > limit {
		t.Errorf("%d heartbeats between regions, want at most %d", d.heartbeats[meter.OtherRegion], limit)
	}
	if limit := int(6 * (nearPartnerCount - domainPartnerCount) * perPartner); d.heartbeats[meter.SameRegion] > limit {
		t.Errorf("%d heartbeats between domains, want at most %d", d.heartbeats[meter.SameRegion], limit)
	}
}

// TestSpreadOfNews guards against news that stop before all instances have them, as when those that presume an instance to be
// alive don't pass it on, or when the news come from one that knew it only by name. Each instance repeats them rumourRepeats times.
func TestSpreadOfNews(t *testing.T) {
	const size = 144
	tests := map[string]struct {
		happen func(d *deployment)
		id     string
		placed bool
	}{
		"an instance that no roster lists starts": {
			happen: func(d *deployment) {
				var known []Instance
				for _, table := range d.tables {
					known = append(known, table.Self())
				}
				d.add(Instance{ID: "new", Address: "10.0.1.1:1", Domain: "r1/d1", Incarnation: 1}, known)
			},
			id: "new", placed: true,
		},
		"an instance dies": {
			happen: func(d *deployment) { d.down["i007"] = true },
			id:     "i007", placed: false,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := startDeployment(size)
			d.run(60)
			d.resetCounts()
			test.happen(d)
			d.run(30)
			if n := d.disagreeing(test.id, test.placed); n > 0 {
				t.Errorf("%d instances don't know after 30 rounds", n)
			}
			// A new instance and its failure domain also repeat that they have answered each other.
			if perNews := rumourRepeats * (size + 1 + 2*size/6); d.rumours > perNews {
				t.Errorf("%d rumours were sent, want at most %d", d.rumours, perNews)
			}
		})
	}
}

// TestPush guards against a change that each instance announces to other regions, and against one that nobody announces there.
func TestPush(t *testing.T) {
	d := startDeployment(144)
	const changes = 10
	told := make(map[meter.Distance]int)
	for range changes {
		for _, table := range d.tables {
			for _, i := range table.pushTargets() {
				told[table.distance(i)]++
			}
		}
	}
	tests := map[string]struct {
		distance meter.Distance
		sides    int
		partners int
	}{
		"between regions": {distance: meter.OtherRegion, sides: 3, partners: partnerCount - nearPartnerCount},
		"between domains": {distance: meter.SameRegion, sides: 6, partners: nearPartnerCount - domainPartnerCount},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			limit := changes * test.sides * test.partners * farSenders * 5 / 4
			least := changes * test.sides
			if n := told[test.distance]; n > limit || n < least {
				t.Errorf("%d instances were told, want %d to %d", n, least, limit)
			}
		})
	}
}

// TestProbesOfSlowInstances guards against heartbeats that grow with the statements that fail: where endpoints are slow or cut off,
// statements fail at holders in all regions that are well, and each failure asks for a heartbeat to all of them.
func TestProbesOfSlowInstances(t *testing.T) {
	const (
		seconds  = 7
		failures = 10
		holders  = 24
	)
	d := startDeployment(144)
	d.run(20)
	self := d.tables["i000"]
	sent := make(map[meter.Distance]int)
	for range seconds * failures {
		d.now = d.now.Add(time.Second / failures)
		for n := range holders {
			self.ProbeSoon(fmt.Sprintf("10.0.0.%d:1", 1+n), d.now)
		}
		for _, target := range self.Targets(d.now) {
			sent[self.distance(target)]++
			d.exchange(self, target)
		}
	}
	limit := holders * seconds * int(time.Second/probePause)
	if n := sent[meter.OtherRegion] + sent[meter.SameRegion]; n > limit {
		t.Errorf("%d heartbeats to other domains, want at most %d", n, limit)
	}
}
