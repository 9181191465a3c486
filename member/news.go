package member

import (
	"slices"
)

// News returns rumours to send with a heartbeat, the newest first, each of which is sent a bounded number of times.
func (t *Table) NextRumours() []Rumour {
	n := min(len(t.queue), newsMaximum)
	out := make([]Rumour, 0, n)
	taken := t.queue[:n:n]
	t.queue = t.queue[n:]
	for _, id := range taken {
		out = append(out, rumour(t.instances[id]))
		t.news[id]--
		if t.news[id] > 0 {
			t.queue = append(t.queue, id)
			continue
		}
		delete(t.news, id)
	}
	return out
}

// spread makes the state of an instance news.
func (t *Table) spread(id string) {
	if t.news[id] == 0 {
		t.queue = slices.Insert(t.queue, 0, id)
	}
	t.news[id] = newsRepeats
}

// All returns a rumour of each live instance, for one that does not know them.
func (t *Table) AllRumours() []Rumour {
	var out []Rumour
	for _, i := range t.Instances() {
		if i.State.Live() {
			out = append(out, rumour(i))
		}
	}
	return out
}

func rumour(i Instance) Rumour {
	return Rumour{ID: i.ID, Address: i.Address, Domain: i.Domain, Incarnation: i.Incarnation, State: i.State}
}
