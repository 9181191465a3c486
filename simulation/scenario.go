package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Class describes one kind of request.
type Class struct {
	Name  string
	Route string
	// Share is the class's fraction of all requests, WriteShare the fraction of those that write, and MeanWorkMS their mean
	// service time in milliseconds.
	Share      float64
	WriteShare float64
	MeanWorkMS int
	// Target is the latency up to which an answer has its full value, LateValue the fraction of the value that a later answer
	// has, and CallerTimeout the time after which the caller gives up.
	Target        time.Duration
	LateValue     float64
	CallerTimeout time.Duration
}

// Policy decides how instances serve requests.
type Policy interface {
	// Serve runs a request on an instance; if it was refused, after is the least delay before a retry.
	Serve(ctx context.Context, instance int, r Request) (served bool, after time.Duration)
	// SetPrimary reports that endpoint is the new primary.
	SetPrimary(endpoint string)
}

// Request is a request of a caller.
type Request struct {
	ID     string
	Class  Class
	Writes bool
}

// Scenario is a load on a group for a limited time.
type Scenario struct {
	Group     *Group
	Policy    Policy
	Instances int
	Classes   []Class
	// Rate returns the requests per second at a time since the start.
	Rate     func(at time.Duration) float64
	Duration time.Duration
	// Events are called at these times since the start.
	Events map[time.Duration]func()
	Seed   uint64
}

// MaxRetries is the number of times a caller retries a refused request, and minRetryDelay the least delay before a retry.
const (
	MaxRetries    = 2
	minRetryDelay = 20 * time.Millisecond
)

// Outcome is the result of a request with all its retries. Start is measured from the start of the scenario, Latency from
// the first attempt.
type Outcome struct {
	Class   string
	Start   time.Duration
	Latency time.Duration
	Served  bool
	OnTime  bool
	// Value is 1 for an answer within the target latency, LateValue for a later one and 0 for none.
	Value    float64
	Attempts int
}

// Run runs the scenario and returns the outcomes of all requests by start time.
func (s Scenario) Run() []Outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	started := time.Now()
	random := rand.New(rand.NewPCG(s.Seed, 1))
	var mu sync.Mutex
	var out []Outcome
	var running sync.WaitGroup
	for at, trigger := range s.Events {
		running.Go(func() {
			time.Sleep(at)
			trigger()
		})
	}
	for n := 0; time.Since(started) < s.Duration; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / s.Rate(time.Since(started)) * float64(time.Second)))
		class := s.drawClass(random)
		r := Request{ID: fmt.Sprintf("q%d", n), Class: class, Writes: random.Float64() < class.WriteShare}
		at, instance, jitter := time.Since(started), random.IntN(s.Instances), random.Float64()
		running.Go(func() {
			o := s.runCaller(ctx, instance, r, jitter)
			o.Start = at
			mu.Lock()
			defer mu.Unlock()
			out = append(out, o)
		})
	}
	running.Wait()
	slices.SortFunc(out, func(a, b Outcome) int { return int(a.Start - b.Start) })
	return out
}

func (s Scenario) drawClass(random *rand.Rand) Class {
	x := random.Float64()
	for _, c := range s.Classes {
		if x -= c.Share; x < 0 {
			return c
		}
	}
	return s.Classes[len(s.Classes)-1]
}

// runCaller retries until the request is served, the retries are used up or the caller gives up.
func (s Scenario) runCaller(ctx context.Context, instance int, r Request, jitter float64) Outcome {
	started := time.Now()
	o := Outcome{Class: r.Class.Name}
	for o.Attempts < 1+MaxRetries && time.Since(started) < r.Class.CallerTimeout {
		o.Attempts++
		served, after := s.Policy.Serve(ctx, instance, r)
		if served {
			o.Latency = time.Since(started)
			o.Served = o.Latency <= r.Class.CallerTimeout
			o.OnTime = o.Latency <= r.Class.Target
			if o.OnTime {
				o.Value = 1
			} else if o.Served {
				o.Value = r.Class.LateValue
			}
			return o
		}
		time.Sleep(time.Duration((1 + jitter) * float64(max(after, minRetryDelay))))
	}
	o.Latency = time.Since(started)
	return o
}
