package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// TestAdmissionInvariants checks on generated schedules that slots are never exceeded and that every request gets
// exactly one final decision.
func TestAdmissionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		a := NewAdmission(slots)
		now := epoch
		running, answered, queued := 0, map[Ticket]Decision{}, map[Ticket]bool{}
		record := func(outcomes []Outcome) {
			for _, o := range outcomes {
				if !queued[o.Ticket] {
					t.Fatalf("ticket %d was decided twice or never arrived", o.Ticket)
				}
				delete(queued, o.Ticket)
				answered[o.Ticket] = o.Decision
				if o.Decision == Granted {
					running++
				}
				if o.Decision == Refused && o.RetryAfter <= 0 {
					t.Fatalf("refused without a retry time")
				}
			}
		}
		classes := []Class{{Name: "main", Weight: 4, Queue: 5}, {Name: "history", Weight: 1, Queue: 5}}
		for ticket := range Ticket(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "micros")) * time.Microsecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				deadline := now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline")) * time.Millisecond)
				o := a.Arrive(ticket, Request{Class: classes[rapid.IntRange(0, 1).Draw(t, "class")], Deadline: deadline}, now)
				queued[ticket] = true
				if o.Decision != Queued {
					record([]Outcome{o})
				}
			case 2:
				if running > 0 {
					running--
					record(a.Release(time.Duration(rapid.IntRange(0, 5000).Draw(t, "took"))*time.Microsecond, now))
				}
			default:
				record(a.Expire(now))
			}
			if running > slots || a.Used() != running || a.Waiting() != len(queued) {
				t.Fatalf("running %d, used %d of %d slots, waiting %d, want waiting %d", running, a.Used(), slots, a.Waiting(), len(queued))
			}
		}
	})
}

// TestAdmissionWeights checks that two classes with waiting requests share the slots by weight, to within the one
// request that a class may be ahead.
func TestAdmissionWeights(t *testing.T) {
	a := NewAdmission(1)
	farDeadline := epoch.Add(time.Hour)
	main, history := Class{Name: "main", Weight: 4}, Class{Name: "history", Weight: 1}
	a.Arrive(0, Request{Class: main, Deadline: farDeadline}, epoch)
	for n := range Ticket(50) {
		a.Arrive(100+n, Request{Class: history, Deadline: farDeadline}, epoch)
		a.Arrive(200+n, Request{Class: main, Deadline: farDeadline}, epoch)
	}
	historyGrants := 0
	for range 25 {
		for _, o := range a.Release(time.Millisecond, epoch) {
			if o.Ticket < 200 {
				historyGrants++
			}
		}
	}
	if historyGrants < 4 || historyGrants > 6 {
		t.Errorf("history got %d of 25 slots, want 4 to 6", historyGrants)
	}
}

// admissionPolicy decides when requests get a slot. release returns the requests that start when a slot is freed.
type admissionPolicy interface {
	arrive(n int, now time.Time) bool
	release(now time.Time) []int
}

// TestAdmissionOverload simulates arrivals at twice the capacity. Most of the capacity must go to requests that meet
// their deadline. A plain FIFO queue under the same load shows the collapse that admission control prevents.
func TestAdmissionOverload(t *testing.T) {
	const (
		service  = 2 * time.Millisecond
		slots    = 5
		deadline = 50 * time.Millisecond
		seconds  = 5
	)
	capacity := float64(slots) * float64(time.Second) / float64(service)
	goodput := map[string]float64{
		"admission":  simulate(&admissionControl{admission: NewAdmission(slots), deadline: deadline, service: service}, 2*capacity, service, slots, deadline, seconds),
		"FIFO queue": simulate(&fifo{slots: slots}, 2*capacity, service, slots, deadline, seconds),
	}
	t.Logf("goodput of capacity: %v", goodput)
	if goodput["admission"] < 0.9 {
		t.Errorf("goodput %.2f of capacity, want at least 0.90", goodput["admission"])
	}
	if goodput["FIFO queue"] > 0.5 {
		t.Errorf("goodput %.2f of capacity with the FIFO queue, want at most 0.50: the load does not overload it", goodput["FIFO queue"])
	}
}

// simulate returns the share of the capacity used by requests that met their deadline.
func simulate(policy admissionPolicy, rate float64, service time.Duration, slots int, deadline time.Duration, seconds int) float64 {
	type running struct {
		n    int
		ends time.Time
	}
	var active []running
	arrivedAt := map[int]time.Time{}
	metDeadline := 0
	gap := time.Duration(float64(time.Second) / rate)
	total := int(rate) * seconds
	finishUntil := func(until time.Time) {
		for len(active) > 0 && !active[0].ends.After(until) {
			finished := active[0]
			active = active[1:]
			if finished.ends.Sub(arrivedAt[finished.n]) <= deadline {
				metDeadline++
			}
			for _, n := range policy.release(finished.ends) {
				active = append(active, running{n: n, ends: finished.ends.Add(service)})
			}
		}
	}
	for n := range total {
		now := epoch.Add(time.Duration(n) * gap)
		finishUntil(now)
		arrivedAt[n] = now
		if policy.arrive(n, now) {
			active = append(active, running{n: n, ends: now.Add(service)})
		}
	}
	return float64(metDeadline) / (float64(slots) * float64(seconds) * float64(time.Second) / float64(service))
}

type admissionControl struct {
	admission *Admission
	deadline  time.Duration
	service   time.Duration
}

func (a *admissionControl) arrive(n int, now time.Time) bool {
	return a.admission.Arrive(Ticket(n), Request{Class: Class{Name: "main", Queue: 1000}, Deadline: now.Add(a.deadline)}, now).Decision == Granted
}

func (a *admissionControl) release(now time.Time) []int {
	var out []int
	for _, o := range a.admission.Release(a.service, now) {
		if o.Decision == Granted {
			out = append(out, int(o.Ticket))
		}
	}
	return out
}

type fifo struct {
	slots int
	used  int
	queue []int
}

func (f *fifo) arrive(n int, _ time.Time) bool {
	if f.used < f.slots {
		f.used++
		return true
	}
	f.queue = append(f.queue, n)
	return false
}

func (f *fifo) release(time.Time) []int {
	if len(f.queue) == 0 {
		f.used--
		return nil
	}
	n := f.queue[0]
	f.queue = f.queue[1:]
	return []int{n}
}

func TestBudget(t *testing.T) {
	b := NewBudget()
	retries := 0
	for range 1000 {
		b = b.WithRequest()
		if next, ok := b.WithRetry(); ok {
			b = next
			retries++
		}
	}
	// The full initial budget, and then one retry for every ten requests.
	if want := int(maxBudget) + 1000/10; retries > want || retries < want-2 {
		t.Errorf("%d retries for 1000 failed requests, want about %d", retries, want)
	}
}

func TestCircuit(t *testing.T) {
	c, now := Circuit{}, epoch
	for range failuresToOpen {
		if !c.Allows(now) {
			t.Fatal("circuit opened too early")
		}
		c = c.WithFailure(now)
	}
	if c.Allows(now) || c.Remaining(now) != minOpenTime {
		t.Errorf("allows %t, remaining %s", c.Allows(now), c.Remaining(now))
	}
	now = now.Add(minOpenTime)
	if !c.Allows(now) {
		t.Error("circuit refuses an attempt after its open time")
	}
	c = c.WithFailure(now)
	if c.Remaining(now) != 2*minOpenTime {
		t.Errorf("remaining %s after a failed attempt, want twice the initial open time", c.Remaining(now))
	}
	if !c.WithSuccess().Allows(now) {
		t.Error("circuit is still open after a success")
	}
}

// TestUnusedSlots guards against an estimate of waiting times that sinks with each slot that is freed unused, as when a
// caller gives up as its slot is granted or no connection can be opened: requests that can't be served in time would queue.
func TestUnusedSlots(t *testing.T) {
	const service = 20 * time.Millisecond
	a := NewAdmission(1)
	class := Class{Name: "main", Queue: 100}
	use := func(took time.Duration) {
		if o := a.Arrive(1, Request{Class: class, Deadline: epoch.Add(time.Second)}, epoch); o.Decision != Granted {
			t.Fatalf("no free slot: %v", o.Decision)
		}
		a.Release(took, epoch)
	}
	for range 100 {
		use(service)
	}
	before := a.ServiceTime()
	for range 100 {
		use(0)
	}
	if after := a.ServiceTime(); after != before {
		t.Errorf("mean service time %s after 100 slots were freed unused, %s before", after, before)
	}
	a.Arrive(2, Request{Class: class, Deadline: epoch.Add(time.Second)}, epoch)
	if o := a.Arrive(3, Request{Class: class, Deadline: epoch.Add(service)}, epoch); o.Decision != Refused {
		t.Errorf("a request that can't be served in time was not refused: %v", o.Decision)
	}
}
