package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// TestAdmissionPromises draws schedules: slots are never exceeded, and every request gets exactly one final answer.
func TestAdmissionPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		a := NewAdmission(slots)
		now := epoch
		running, answered, queued := 0, map[Ticket]Decision{}, map[Ticket]bool{}
		take := func(outcomes []Outcome) {
			for _, o := range outcomes {
				if !queued[o.Ticket] {
					t.Fatalf("ticket %d was decided but did not wait", o.Ticket)
				}
				delete(queued, o.Ticket)
				answered[o.Ticket] = o.Decision
				if o.Decision == Granted {
					running++
				}
				if o.Decision == Refused && o.After <= 0 {
					t.Fatalf("refused without a time to come back")
				}
			}
		}
		classes := []Class{{Name: "main", Weight: 4, Queue: 5}, {Name: "history", Weight: 1, Queue: 5}}
		for ticket := range Ticket(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "micros")) * time.Microsecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				deadline := now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline")) * time.Millisecond)
				o := a.Arrive(ticket, classes[rapid.IntRange(0, 1).Draw(t, "class")], deadline, now)
				queued[ticket] = true
				if o.Decision != Queued {
					take([]Outcome{o})
				}
			case 2:
				if running > 0 {
					running--
					take(a.Release(time.Duration(rapid.IntRange(0, 5000).Draw(t, "took"))*time.Microsecond, now))
				}
			default:
				take(a.Expire(now))
			}
			if running > slots || a.Used() != running || a.Waiting() != len(queued) {
				t.Fatalf("running %d used %d of %d slots, waiting %d of %d", running, a.Used(), slots, a.Waiting(), len(queued))
			}
		}
	})
}

// TestAdmissionWeights shows that classes share the slots by weight while both wait, to within the one request that a
// class may be ahead.
func TestAdmissionWeights(t *testing.T) {
	a := NewAdmission(1)
	far := epoch.Add(time.Hour)
	main, history := Class{Name: "main", Weight: 4}, Class{Name: "history", Weight: 1}
	a.Arrive(0, main, far, epoch)
	for n := range Ticket(50) {
		a.Arrive(100+n, history, far, epoch)
		a.Arrive(200+n, main, far, epoch)
	}
	lighter := 0
	for range 25 {
		for _, o := range a.Release(time.Millisecond, epoch) {
			if o.Ticket < 200 {
				lighter++
			}
		}
	}
	if lighter < 4 || lighter > 6 {
		t.Errorf("history got %d of 25 slots, want a fifth to within one", lighter)
	}
}

// queueing is a policy under a simulated load.
type queueing interface {
	arrive(n int, now time.Time) bool
	release(now time.Time) []int
}

// TestAdmissionOverload simulates arrivals at twice the capacity: most of the capacity must go to requests that meet
// their deadline, and those refused must learn it quickly; a plain queue shows what happens otherwise.
func TestAdmissionOverload(t *testing.T) {
	const (
		service  = 2 * time.Millisecond
		slots    = 5
		deadline = 50 * time.Millisecond
		seconds  = 5
	)
	capacity := float64(slots) * float64(time.Second) / float64(service)
	good := map[string]float64{
		"admission":   simulate(&admitted{admission: NewAdmission(slots), deadline: deadline, service: service}, 2*capacity, service, slots, deadline, seconds),
		"plain queue": simulate(&plain{slots: slots}, 2*capacity, service, slots, deadline, seconds),
	}
	t.Logf("goodput of capacity: %v", good)
	if good["admission"] < 0.9 {
		t.Errorf("goodput %.2f of capacity, want 0.90", good["admission"])
	}
	if good["plain queue"] > 0.5 {
		t.Errorf("the plain queue keeps %.2f, so the test shows nothing", good["plain queue"])
	}
}

// simulate returns the share of the capacity that went to requests which met their deadline.
func simulate(q queueing, rate float64, service time.Duration, slots int, deadline time.Duration, seconds int) float64 {
	type running struct {
		n    int
		ends time.Time
	}
	var active []running
	begun := map[int]time.Time{}
	met := 0
	gap := time.Duration(float64(time.Second) / rate)
	total := int(rate) * seconds
	end := func(until time.Time) {
		for len(active) > 0 && !active[0].ends.After(until) {
			done := active[0]
			active = active[1:]
			if done.ends.Sub(begun[done.n]) <= deadline {
				met++
			}
			for _, n := range q.release(done.ends) {
				active = append(active, running{n: n, ends: done.ends.Add(service)})
			}
		}
	}
	for n := range total {
		now := epoch.Add(time.Duration(n) * gap)
		end(now)
		begun[n] = now
		if q.arrive(n, now) {
			active = append(active, running{n: n, ends: now.Add(service)})
		}
	}
	return float64(met) / (float64(slots) * float64(seconds) * float64(time.Second) / float64(service))
}

type admitted struct {
	admission *Admission
	deadline  time.Duration
	service   time.Duration
}

func (a *admitted) arrive(n int, now time.Time) bool {
	return a.admission.Arrive(Ticket(n), Class{Name: "main", Queue: 1000}, now.Add(a.deadline), now).Decision == Granted
}

func (a *admitted) release(now time.Time) []int {
	var out []int
	for _, o := range a.admission.Release(a.service, now) {
		if o.Decision == Granted {
			out = append(out, int(o.Ticket))
		}
	}
	return out
}

type plain struct {
	slots int
	used  int
	queue []int
}

func (p *plain) arrive(n int, _ time.Time) bool {
	if p.used < p.slots {
		p.used++
		return true
	}
	p.queue = append(p.queue, n)
	return false
}

func (p *plain) release(time.Time) []int {
	if len(p.queue) == 0 {
		p.used--
		return nil
	}
	n := p.queue[0]
	p.queue = p.queue[1:]
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
	// All retries saved up, and then one for each ten requests.
	if want := int(budgetMaximum) + 1000/10; retries > want || retries < want-2 {
		t.Errorf("%d retries for 1000 requests that all failed, want about %d", retries, want)
	}
}

func TestCircuit(t *testing.T) {
	c, now := Circuit{}, epoch
	for range failuresToOpen {
		if !c.Allows(now) {
			t.Fatal("open too early")
		}
		c = c.WithFailure(now)
	}
	if c.Allows(now) || c.Remaining(now) != openMinimum {
		t.Errorf("allows %t, remaining %s", c.Allows(now), c.Remaining(now))
	}
	now = now.Add(openMinimum)
	if !c.Allows(now) {
		t.Error("closed to the trial after its pause")
	}
	c = c.WithFailure(now)
	if c.Remaining(now) != 2*openMinimum {
		t.Errorf("remaining %s after a failed trial", c.Remaining(now))
	}
	if !c.WithSuccess().Allows(now) {
		t.Error("still open after a success")
	}
}
