package limit

import "time"

// lateWeightShare is the weight of the requests of a class that will be answered late, relative to those that can be on time.
const lateWeightShare = 0.1

// lane is a queue of waiting requests, divided into flows. The requests of a class that can still be answered on time wait in
// one lane, the others in another.
type lane struct {
	class Class
	late  bool
	// virtualFinish is the virtual finish time of the last granted request, as in weighted fair queueing.
	virtualFinish float64
	// virtualTime is the virtual time of the fair queueing between the flows.
	virtualTime float64
	flows       map[string]*flow
	waiting     int
}

// flow holds the waiting requests of one flow in order of arrival.
type flow struct {
	name          string
	virtualFinish float64
	waiters       []waiter
}

type waiter struct {
	ticket  Ticket
	request Request
}

// weight returns the lane's share of the slots relative to other lanes with waiting requests.
func (l *lane) weight() float64 {
	if l.late {
		return lateWeightShare * float64(l.class.Weight)
	}
	return float64(l.class.Weight)
}

// deadline returns the time by which a request of the lane has to be answered.
func (l *lane) deadline(r Request) time.Time {
	if l.late {
		return r.Deadline
	}
	return r.Target
}

func (l *lane) push(w waiter) {
	f, ok := l.flows[w.request.Flow]
	if !ok {
		f = &flow{name: w.request.Flow, virtualFinish: l.virtualTime}
		l.flows[f.name] = f
	}
	f.waiters = append(f.waiters, w)
	l.waiting++
}

// pop removes the request that is next: the first of the flow with the least virtual finish time.
func (l *lane) pop() waiter {
	var next *flow
	for _, f := range l.flows {
		if next == nil || f.virtualFinish < next.virtualFinish || f.virtualFinish == next.virtualFinish && f.name < next.name {
			next = f
		}
	}
	l.virtualTime = next.virtualFinish
	next.virtualFinish++
	w := next.waiters[0]
	next.waiters = next.waiters[1:]
	l.waiting--
	if len(next.waiters) == 0 {
		delete(l.flows, next.name)
	}
	return w
}

// position returns how many requests will have been granted once the next request of a flow is: at most all that wait and
// itself, and no more than one of each flow for each of its own.
func (l *lane) position(name string) int {
	own, flows := 1, len(l.flows)
	if f, ok := l.flows[name]; ok {
		own += len(f.waiters)
	} else {
		flows++
	}
	return min(l.waiting+1, own*flows)
}

// remove removes and returns the waiting requests for which drop returns true.
func (l *lane) remove(drop func(waiter) bool) []waiter {
	var out []waiter
	for name, f := range l.flows {
		kept := f.waiters[:0]
		for _, w := range f.waiters {
			if drop(w) {
				out = append(out, w)
				continue
			}
			kept = append(kept, w)
		}
		f.waiters = kept
		if len(kept) == 0 {
			delete(l.flows, name)
		}
	}
	l.waiting -= len(out)
	return out
}
