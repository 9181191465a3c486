package member

import (
	"cmp"
	"slices"
	"time"
)

const (
	// missesToDie is how many heartbeats in a row an instance must miss to count as dead.
	missesToDie = 3
	// partners is how many instances each instance sends heartbeats to in turn.
	partners = 8
	// fanout is how many heartbeats are sent each period, those to doubtful instances not counted.
	fanout = 3
	// urgentMaximum bounds the heartbeats to doubtful instances in one period.
	urgentMaximum = 16
	// forgetAfter is how long a dead instance that the platform does not list is remembered.
	forgetAfter = 10 * time.Minute
	// censusMemory is for how long a dead instance is counted: an instance cut off from all others must not take their
	// share, and cuts of some seconds are common.
	censusMemory = 30 * time.Second
	// retryDead is how often a dead instance is tried again.
	retryDead = 5 * time.Second
	// newsMaximum bounds the rumours sent with one heartbeat.
	newsMaximum = 8
	// newsRepeats is how often one piece of news is sent.
	newsRepeats = 12
)

// Table is what this instance knows of the others. Methods take the time; it is not safe for concurrent use.
type Table struct {
	self      Instance
	instances map[string]Instance
	urgent    map[string]time.Time
	listed    map[string]bool
	// news counts how often each piece is still to be sent, and queue is the order.
	news    map[string]int
	queue   []string
	turn    int
	version uint64
	// ring is the names of the partners, nil when they have to be ranked anew.
	ring []string
}

// NewTable returns a table that knows only the instance itself.
func NewTable(self Instance) *Table {
	self.State = Alive
	return &Table{
		self:      self,
		instances: make(map[string]Instance),
		urgent:    make(map[string]time.Time),
		listed:    make(map[string]bool),
		news:      make(map[string]int),
		version:   1,
	}
}

// Self returns the instance itself.
func (t *Table) Self() Instance { return t.self }

// Version grows whenever the set of live instances changes.
func (t *Table) Version() uint64 { return t.version }

// Instances returns the others, ordered by ID.
func (t *Table) Instances() []Instance {
	out := make([]Instance, 0, len(t.instances))
	for _, i := range t.instances {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Live returns the instances that may own endpoints, this one included unless it leaves, ordered by ID.
func (t *Table) Live() []Instance {
	out := make([]Instance, 0, len(t.instances)+1)
	for _, i := range t.instances {
		if i.State.Live() {
			out = append(out, i)
		}
	}
	if t.self.State.Live() {
		out = append(out, t.self)
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Census returns how many instances there are, this one included: also those that are not proved yet, or that died so
// lately that they may be back or still hold connections.
func (t *Table) InstanceCount(now time.Time) int {
	n := 1
	for _, i := range t.instances {
		if i.State != Leaving && (i.State != Dead || now.Sub(i.Since) < censusMemory) {
			n++
		}
	}
	return n
}

// Leave marks this instance as leaving.
func (t *Table) Leave(now time.Time) {
	t.self = t.self.WithState(Leaving, now)
	t.version++
}

// Roster takes in the platform's list: it proposes instances and never decides that one lives or is dead.
func (t *Table) ApplyRoster(list []Instance, now time.Time) {
	t.listed = make(map[string]bool, len(list))
	for _, listed := range list {
		t.listed[listed.ID] = true
		t.propose(Rumour{ID: listed.ID, Address: listed.Address, Domain: listed.Domain}, now)
	}
	t.forget(now)
}

// Listed reports whether the platform's last list named an instance.
func (t *Table) Listed(id string) bool { return t.listed[id] }

func (t *Table) forget(now time.Time) {
	for id, i := range t.instances {
		if i.State == Dead && !t.listed[id] && now.Sub(i.Since) > forgetAfter {
			delete(t.instances, id)
			delete(t.urgent, id)
			t.ring = nil
		}
	}
}

// propose adds an instance that is not known, to be proved by a heartbeat.
func (t *Table) propose(r Rumour, now time.Time) {
	if r.ID == t.self.ID || r.ID == "" {
		return
	}
	known, ok := t.instances[r.ID]
	if ok && known.Address == r.Address {
		return
	}
	if ok && (known.State.Live() || known.Incarnation > r.Incarnation) {
		return
	}
	t.ring = nil
	t.instances[r.ID] = Instance{ID: r.ID, Address: r.Address, Domain: r.Domain, State: Unproven, Since: now}
	t.urgent[r.ID] = now
}

// Answered takes in a heartbeat from the instance or its answer to one.
func (t *Table) Answered(from Instance, leaving bool, now time.Time) []Change {
	if from.ID == t.self.ID || from.ID == "" {
		return nil
	}
	known, ok := t.instances[from.ID]
	if ok && known.Incarnation > from.Incarnation {
		return nil
	}
	state := Alive
	if leaving {
		state = Leaving
	}
	if !ok {
		t.ring = nil
	}
	before := known.State
	next := from
	next.Since = known.Since
	next.State = known.State
	next.Missed = 0
	t.instances[from.ID] = next.WithState(state, now)
	delete(t.urgent, from.ID)
	return t.changed(from.ID, before)
}

// Missed takes in that the instance did not answer a heartbeat.
func (t *Table) Missed(id string, now time.Time) []Change {
	known, ok := t.instances[id]
	if !ok || known.State == Dead {
		return nil
	}
	before := known.State
	known.Missed++
	switch {
	case known.Missed >= missesToDie:
		known = known.WithState(Dead, now)
		delete(t.urgent, id)
	case known.State == Alive:
		known = known.WithState(Suspect, now)
		t.urgent[id] = now
	default:
		t.urgent[id] = now
	}
	t.instances[id] = known
	return t.changed(id, before)
}

func (t *Table) changed(id string, before State) []Change {
	i := t.instances[id]
	if i.State == before {
		return nil
	}
	if i.State.Live() != before.Live() {
		t.version++
		t.ring = nil
	}
	if i.State != Suspect {
		t.spread(id)
	}
	return []Change{{Instance: i, Before: before}}
}

// Doubt asks for a heartbeat to the instance at an address soon, because something else failed there.
func (t *Table) ProbeSoon(address string, now time.Time) {
	for id, i := range t.instances {
		if i.Address == address && i.State.Live() {
			t.urgent[id] = now
		}
	}
}

// Hear takes in rumours: unknown instances are proposed, and contradictions are settled by a heartbeat soon.
func (t *Table) ApplyRumours(rumours []Rumour, now time.Time) {
	for _, r := range rumours {
		t.hear(r, now)
	}
}

func (t *Table) hear(r Rumour, now time.Time) {
	known, ok := t.instances[r.ID]
	if !ok {
		if r.State != Dead {
			t.propose(r, now)
		}
		return
	}
	contradicts := r.Incarnation >= known.Incarnation && r.State.Live() != known.State.Live()
	if contradicts {
		t.urgent[r.ID] = now
	}
}

// Targets returns the instances to send heartbeats to in this period: the doubtful ones, some partners in turn, and
// dead ones from time to time.
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
	ring := t.partners()
	for range min(fanout, len(ring)) {
		add(ring[t.turn%len(ring)])
		t.turn++
	}
	for id, i := range t.instances {
		if i.State == Dead && now.Sub(i.Since) > retryDead {
			t.instances[id] = i.retried(now)
			add(i)
			break
		}
	}
	return out
}

// retried restarts the pause before a dead instance is tried again.
func (i Instance) retried(now time.Time) Instance {
	i.Since = now
	return i
}

func (t *Table) urgentIDs() []string {
	ids := make([]string, 0, len(t.urgent))
	for id := range t.urgent {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids[:min(len(ids), urgentMaximum)]
}

// partners returns the instances, dead ones left out, that rank highest for this one, so that each instance watches a
// few and is watched by a few, whatever their number.
func (t *Table) partners() []Instance {
	if t.ring == nil {
		t.ring = t.rankPartners()
	}
	out := make([]Instance, 0, len(t.ring))
	for _, id := range t.ring {
		out = append(out, t.instances[id])
	}
	return out
}

func (t *Table) rankPartners() []string {
	candidates := make([]Instance, 0, len(t.instances))
	for _, i := range t.instances {
		if i.State != Dead {
			candidates = append(candidates, i)
		}
	}
	ring := make([]string, 0, partners)
	for _, i := range NewPlacement(candidates).Top(t.self.ID, "", partners) {
		ring = append(ring, i.ID)
	}
	return ring
}
