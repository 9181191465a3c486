package member

import (
	"slices"
)

// NextRumours returns the rumours to send with the next heartbeat, newest first; each is sent a limited number of times.
func (t *Table) NextRumours() []Rumour {
	n := min(len(t.rumourQueue), maxRumours)
	out := make([]Rumour, 0, n)
	taken := t.rumourQueue[:n:n]
	t.rumourQueue = t.rumourQueue[n:]
	for _, id := range taken {
		out = append(out, t.newRumour(t.instances[id]))
		t.rumourSends[id]--
		if t.rumourSends[id] > 0 {
			t.rumourQueue = append(t.rumourQueue, id)
			continue
		}
		delete(t.rumourSends, id)
	}
	return out
}

// queueRumour queues an instance's state to be gossiped, in front of older rumours.
func (t *Table) queueRumour(id string) {
	if t.rumourSends[id] == 0 {
		t.rumourQueue = slices.Insert(t.rumourQueue, 0, id)
	}
	t.rumourSends[id] = rumourRepeats
}

// maxNamed bounds the instances that one heartbeat names to a peer that does not know them, so that it arrives in time.
const maxNamed = 256

// RumoursAfter returns a rumour of each instance that takes part in the placement, for a peer that does not know them: the first maxNamed
// whose IDs follow the given one. It returns the last ID if there are more, and "" otherwise.
func (t *Table) RumoursAfter(after string) ([]Rumour, string) {
	var out []Rumour
	for _, i := range t.Instances() {
		if i.ID <= after || !t.placed(i) {
			continue
		}
		if len(out) == maxNamed {
			return out, out[len(out)-1].ID
		}
		r := t.newRumour(i)
		r.State = Alive
		out = append(out, r)
	}
	return out, ""
}

// newRumour returns the rumour of an instance. One that takes part in the placement unproven is reported as alive.
func (t *Table) newRumour(i Instance) Rumour {
	state := i.State
	if state == Unproven && t.placed(i) {
		state = Alive
	}
	return Rumour{ID: i.ID, Address: i.Address, Domain: i.Domain, Incarnation: i.Incarnation, State: state}
}
