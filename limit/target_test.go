package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// targetControl admits requests of one class with a target that is shorter than their deadline.
type targetControl struct {
	admissionControl
	target time.Duration
}

func (c *targetControl) arrive(n int, now time.Time) bool {
	r := Request{Class: Class{Name: "main", Queue: 1000}, Deadline: now.Add(c.deadline)}
	if c.target > 0 {
		r.Target = now.Add(c.target)
	}
	return c.admission.Arrive(Ticket(n), r, now).Decision == Granted
}

// TestTargetBeforeLate answers the pattern of a burst of the most urgent requests, 1.6 times what the slots can run, whose
// statements may take three times as long as their callers want to wait. Nearly all of the capacity must go to answers on
// time; a queue that knows only the deadline answers nearly all of them late.
func TestTargetBeforeLate(t *testing.T) {
	const (
		service  = 6 * time.Millisecond
		slots    = 4
		target   = 120 * time.Millisecond
		deadline = 3 * target
		seconds  = 5
	)
	capacity := float64(slots) * float64(time.Second) / float64(service)
	tests := map[string]struct {
		target   time.Duration
		min, max float64
	}{
		"with target":   {target: target, min: 0.85, max: 1},
		"deadline only": {min: 0, max: 0.3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &targetControl{admissionControl{NewAdmission(slots), deadline, service}, test.target}
			onTime := simulate(c, 1.6*capacity, service, slots, target, seconds)
			t.Logf("answers on time: %.2f of capacity", onTime)
			if onTime < test.min || onTime > test.max {
				t.Errorf("answers on time are %.2f of capacity, want %.2f to %.2f", onTime, test.min, test.max)
			}
		})
	}
}

// TestFlows answers the pattern of one workspace that sends many times its usual, on slots that would serve all others at
// once: the requests of the others must not wait behind its own.
func TestFlows(t *testing.T) {
	const slots, service = 2, 10 * time.Millisecond
	class := Class{Name: "main", Queue: 1000}
	a, now := NewAdmission(slots), epoch
	arrive := func(n int, flow string) Outcome {
		return a.Arrive(Ticket(n), Request{Class: class, Flow: flow, Target: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}, now)
	}
	for n := range 70 {
		arrive(n, "hot")
	}
	const first = 1000
	for n := range 5 {
		if o := arrive(first+n, fmt.Sprintf("w%d", n)); o.Decision != Queued {
			t.Fatalf("request of another workspace: %v", o.Decision)
		}
	}
	others := 0
	for range 12 {
		now = now.Add(service / slots)
		for _, o := range a.Release(service, now) {
			if o.Ticket >= first {
				others++
			}
		}
	}
	if others != 5 {
		t.Errorf("%d of 5 requests of other workspaces got one of the next 12 slots", others)
	}
}

// TestLateAreNotStarved checks on generated loads that a request which is late is granted in the end, or refused, by its
// deadline, and that one which is on time is never passed by a late one of its class for more than the late ones' share.
func TestLateAreNotStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		class := Class{Name: "main", Queue: 50}
		a, now := NewAdmission(1), epoch
		deadlines := make(map[Ticket]time.Time)
		decide := func(outcomes []Outcome) {
			for _, o := range outcomes {
				if now.After(deadlines[o.Ticket]) {
					t.Fatalf("decided %s after the deadline", now.Sub(deadlines[o.Ticket]))
				}
				delete(deadlines, o.Ticket)
			}
		}
		for ticket := range Ticket(rapid.IntRange(1, 80).Draw(t, "requests")) {
			target := time.Duration(rapid.IntRange(1, 30).Draw(t, "target")) * time.Millisecond
			r := Request{Class: class, Target: now.Add(target), Deadline: now.Add(3 * target)}
			deadlines[ticket] = r.Deadline
			if o := a.Arrive(ticket, r, now); o.Decision != Queued {
				decide([]Outcome{o})
			}
			if a.Used() > 0 && rapid.Bool().Draw(t, "release") {
				decide(a.Release(time.Millisecond, now))
			}
			step := time.Duration(rapid.IntRange(0, 2000).Draw(t, "micros")) * time.Microsecond
			for range 4 {
				now = now.Add(step / 4)
				decide(a.Expire(now))
			}
		}
		for now.Before(epoch.Add(time.Second)) && a.Waiting() > 0 {
			now = now.Add(time.Millisecond / 4)
			decide(a.Expire(now))
		}
		if a.Waiting() > 0 {
			t.Fatalf("%d requests still wait after every deadline", a.Waiting())
		}
	})
}
