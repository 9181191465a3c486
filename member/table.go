package member

import (
	"cmp"
	"slices"
	"time"

	"siskincove/meter"
)

const (
	// deadAfterMisses is how many heartbeats in a row an instance must miss to count as dead.
	deadAfterMisses = 3
	// forgetDeadAfter is how long a dead instance that the roster does not list is kept.
	forgetDeadAfter = 10 * time.Minute
	// countDeadFor is how long InstanceCount includes a dead instance. An instance that is cut off from all others must not
	// take over their share of the limits, and partitions of some seconds are common.
	countDeadFor = 30 * time.Second
	// deadRetryInterval is the pause between two heartbeats to a dead instance.
	deadRetryInterval = 5 * time.Second
	// probePause is the least time between an instance's answer and a heartbeat that ProbeSoon requests. Where endpoints are
	// slow, statements fail all the time at instances that are well.
	probePause = 200 * time.Millisecond
	// maxRumours bounds the rumours sent with one heartbeat.
	maxRumours = 8
	// rumourRepeats is how many times each rumour is sent.
	rumourRepeats = 12
)

// Table is this instance's view of the others. Methods take the current time; it is not safe for concurrent use.
type Table struct {
	self      Instance
	instances map[string]Instance
	// urgent holds the instances to probe in the next period after a time.
	urgent map[string]time.Time
	listed map[string]bool
	// heardAt is when an instance last answered a heartbeat or sent one.
	heardAt map[string]time.Time
	// rumourSends is how many more times each rumour is to be sent, and rumourQueue is the order of sending.
	rumourSends map[string]int
	rumourQueue []string
	// turns counts the turns of partners at a distance since the last heartbeat to one of them.
	turns       map[meter.Distance]int
	nextPartner int
	version     uint64
	// knownVersion increases whenever the known instances or their states change.
	knownVersion uint64
	// partnerIDs are the partners' IDs, nil if they have to be ranked again.
	partnerIDs []string
	// presumesUnproven is set if unproven instances take part in the placement until they miss a heartbeat.
	presumesUnproven bool
}

// NewTable returns a table that knows only this instance.
func NewTable(self Instance) *Table {
	self.State = Alive
	return &Table{
		self:        self,
		instances:   make(map[string]Instance),
		urgent:      make(map[string]time.Time),
		listed:      make(map[string]bool),
		rumourSends: make(map[string]int),
		turns:       make(map[meter.Distance]int),
		heardAt:     make(map[string]time.Time),
		version:     1,
	}
}

// Self returns this instance.
func (t *Table) Self() Instance { return t.self }

// Version returns a number that increases whenever the instances that take part in the placement change.
func (t *Table) Version() uint64 { return t.version }

// Instances returns the other instances, ordered by ID.
func (t *Table) Instances() []Instance {
	out := make([]Instance, 0, len(t.instances))
	for _, i := range t.instances {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// PresumeUnproven lets unproven instances take part in the placement until they miss a heartbeat, so that after a restart
// of many instances all of them have the same placement at once.
func (t *Table) PresumeUnproven() { t.presumesUnproven = true }

// placed reports whether an instance takes part in the placement.
func (t *Table) placed(i Instance) bool {
	return i.State.Live() || t.presumesUnproven && i.State == Unproven && i.Missed == 0
}

// Live returns the instances that may own endpoints, this one included unless it is leaving, ordered by ID.
func (t *Table) Live() []Instance {
	return t.selected(func(i Instance) bool { return i.State.Live() })
}

// Placed returns the instances that take part in the placement, this one included unless it is leaving, ordered by ID.
func (t *Table) Placed() []Instance { return t.selected(t.placed) }

func (t *Table) selected(include func(Instance) bool) []Instance {
	out := make([]Instance, 0, len(t.instances)+1)
	for _, i := range t.instances {
		if include(i) {
			out = append(out, i)
		}
	}
	if t.self.State.Live() {
		out = append(out, t.self)
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// InstanceCount returns the number of instances, this one included. It also counts unproven ones, and those that died so
// recently that they may return or still hold connections.
func (t *Table) InstanceCount(now time.Time) int {
	n := 1
	for _, i := range t.instances {
		if i.State != Leaving && (i.State != Dead || now.Sub(i.Since) < countDeadFor) {
			n++
		}
	}
	return n
}

// MarkLeaving marks this instance as leaving.
func (t *Table) MarkLeaving(now time.Time) {
	t.self = t.self.WithState(Leaving, now)
	t.version++
	t.knownVersion++
}

// ApplyRoster adds the unknown instances of the roster as unproven, and replaces known ones that have never answered and
// are listed at a new address. The roster never decides that an instance is alive or dead.
func (t *Table) ApplyRoster(list []Instance, now time.Time) {
	t.listed = make(map[string]bool, len(list))
	for _, listed := range list {
		t.listed[listed.ID] = true
		t.addUnproven(Rumour{ID: listed.ID, Address: listed.Address, Domain: listed.Domain}, now)
	}
	t.forgetDead(now)
}

// Listed reports whether the roster read last lists an instance.
func (t *Table) Listed(id string) bool { return t.listed[id] }

// ForgetListed discards which instances the roster lists; the instances themselves stay known.
func (t *Table) ForgetListed() { t.listed = make(map[string]bool) }

func (t *Table) forgetDead(now time.Time) {
	for id, i := range t.instances {
		if i.State == Dead && !t.listed[id] && now.Sub(i.Since) > forgetDeadAfter {
			delete(t.instances, id)
			delete(t.urgent, id)
			delete(t.heardAt, id)
			t.partnerIDs = nil
			t.knownVersion++
		}
	}
}

// addUnproven adds an unknown instance, to be probed by a heartbeat, urgently unless it is presumed to be live. It replaces a known one if that has another address,
// is not live and is of no newer incarnation.
func (t *Table) addUnproven(r Rumour, now time.Time) {
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
	t.partnerIDs = nil
	t.knownVersion++
	t.instances[r.ID] = Instance{ID: r.ID, Address: r.Address, Domain: r.Domain, State: Unproven, Since: now}
	if t.presumesUnproven {
		t.version++
		return
	}
	t.urgent[r.ID] = now
}

// Answered records a heartbeat from an instance, or its reply to one, and returns the change of its state, if any.
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
		t.partnerIDs = nil
	}
	if known.Address != from.Address {
		t.knownVersion++
	}
	wasPlaced := ok && t.placed(known)
	next := from
	next.Since = known.Since
	next.State = known.State
	next.Missed = 0
	t.heardAt[from.ID] = now
	t.instances[from.ID] = next.WithState(state, now)
	delete(t.urgent, from.ID)
	return t.recordChange(from.ID, known.State, wasPlaced)
}

// Missed records that an instance did not answer a heartbeat and returns the change of its state, if any.
func (t *Table) Missed(id string, now time.Time) []Change {
	known, ok := t.instances[id]
	if !ok || known.State == Dead {
		return nil
	}
	before, wasPlaced := known.State, t.placed(known)
	known.Missed++
	switch {
	case known.Missed >= deadAfterMisses:
		known = known.WithState(Dead, now)
		delete(t.urgent, id)
	case known.State == Alive:
		known = known.WithState(Suspect, now)
		t.urgent[id] = now
	default:
		t.urgent[id] = now
	}
	t.instances[id] = known
	return t.recordChange(id, before, wasPlaced)
}

// recordChange returns the change of an instance's state or part in the placement, if any.
func (t *Table) recordChange(id string, before State, wasPlaced bool) []Change {
	i := t.instances[id]
	moved := t.placed(i) != wasPlaced
	if i.State == before && !moved {
		return nil
	}
	t.knownVersion++
	if moved {
		t.version++
	}
	if moved || i.State.Live() != before.Live() {
		t.partnerIDs = nil
	}
	if i.State != Suspect && i.State != before && !t.isPresumptionConfirmed(i, before, wasPlaced) {
		t.queueRumour(id)
	}
	return []Change{{Instance: i, Before: before, Moved: moved}}
}

// isPresumptionConfirmed reports whether an instance of another failure domain that has become alive was presumed to be. Its own
// domain tells those that read the roster before it was listed.
func (t *Table) isPresumptionConfirmed(i Instance, before State, wasPlaced bool) bool {
	return i.State == Alive && before == Unproven && wasPlaced && t.distance(i) != meter.SameDomain
}

// relayPresumed passes on the rumour of an instance of which this one learned by it just now, if it takes part in the placement.
// It may take long until a distant one has proved that it is alive.
func (t *Table) relayPresumed(id string) {
	if i, ok := t.instances[id]; ok && t.placed(i) {
		t.queueRumour(id)
	}
}

// ProbeSoon requests a heartbeat to the instance at an address in the next period, as after a failed request there, if it takes
// part in the placement. One that has just answered gets it probePause after its answer, unless it sends something before.
func (t *Table) ProbeSoon(address string, now time.Time) {
	for id, i := range t.instances {
		if _, requested := t.urgent[id]; requested || i.Address != address || !t.placed(i) {
			continue
		}
		t.urgent[id] = now
		if due := t.heardAt[id].Add(probePause); due.After(now) {
			t.urgent[id] = due
		}
	}
}

// ApplyRumours adds unknown instances as unproven, and probes known ones soon whose state a rumour contradicts.
func (t *Table) ApplyRumours(rumours []Rumour, now time.Time) {
	for _, r := range rumours {
		_, known := t.instances[r.ID]
		t.applyRumour(r, now)
		// More than maxRumours are all instances that the peer knows, which are no news to others.
		if !known && len(rumours) <= maxRumours {
			t.relayPresumed(r.ID)
		}
	}
}

func (t *Table) applyRumour(r Rumour, now time.Time) {
	known, ok := t.instances[r.ID]
	if !ok {
		if r.State != Dead {
			t.addUnproven(r, now)
		}
		return
	}
	// The incarnation is 0 if the peer knows the instance only by name.
	contradicts := (r.Incarnation == 0 || r.Incarnation >= known.Incarnation) && r.State.Live() != t.placed(known)
	if contradicts {
		t.urgent[r.ID] = now
	}
}
