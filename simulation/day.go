package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Class is a kind of request.
type Class struct {
	Name  string
	Route string
	// Share is the class's part of all requests, Writes the part of them that write, and Work their mean work in ms.
	Share      float64
	WriteShare float64
	MeanWorkMS int
	// Aim is the time in which an answer is worth most, Late the part that a later one is worth, and Limit the time after
	// which the caller has gone.
	Target        time.Duration
	LateValue     float64
	CallerTimeout time.Duration
}

// Policy is how instances serve requests.
type Policy interface {
	// Serve runs a request of an instance; after is when to come back if it was refused.
	Serve(ctx context.Context, instance int, r Request) (served bool, after time.Duration)
	// Led tells that another endpoint leads.
	SetPrimary(endpoint string)
}

// Request is one try of a caller.
type Request struct {
	ID     string
	Class  Class
	Writes bool
}

// Day is a load on a group over some time.
type Scenario struct {
	Group     *Group
	Policy    Policy
	Instances int
	Classes   []Class
	// Rate is the requests a second at a time from the start.
	Rate     func(at time.Duration) float64
	Duration time.Duration
	// Events happen at their times.
	Events map[time.Duration]func()
	Seed   uint64
}

// Retries is how often a caller tries again, and retryPause how long it waits at least.
const (
	MaxRetries = 2
	retryPause = 20 * time.Millisecond
)

// Outcome is what became of one caller's request.
type Outcome struct {
	Class   string
	Start   time.Duration
	Latency time.Duration
	Served  bool
	OnTime  bool
	// Worth is 1 for an answer in its aim, less for a later one and 0 for none.
	Value    float64
	Attempts int
}

// Run plays the day and returns what became of every request.
func (d Scenario) Run() []Outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	started := time.Now()
	random := rand.New(rand.NewPCG(d.Seed, 1))
	var mu sync.Mutex
	var out []Outcome
	var running sync.WaitGroup
	for at, happen := range d.Events {
		running.Go(func() {
			time.Sleep(at)
			happen()
		})
	}
	for n := 0; time.Since(started) < d.Duration; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / d.Rate(time.Since(started)) * float64(time.Second)))
		class := d.draw(random)
		r := Request{ID: fmt.Sprintf("q%d", n), Class: class, Writes: random.Float64() < class.WriteShare}
		at, instance, jitter := time.Since(started), random.IntN(d.Instances), random.Float64()
		running.Go(func() {
			o := d.call(ctx, instance, r, jitter)
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

func (d Scenario) draw(random *rand.Rand) Class {
	x := random.Float64()
	for _, c := range d.Classes {
		if x -= c.Share; x < 0 {
			return c
		}
	}
	return d.Classes[len(d.Classes)-1]
}

// call tries until the request is served, the tries are spent or the caller has gone.
func (d Scenario) call(ctx context.Context, instance int, r Request, jitter float64) Outcome {
	started := time.Now()
	o := Outcome{Class: r.Class.Name}
	for o.Attempts < 1+MaxRetries && time.Since(started) < r.Class.CallerTimeout {
		o.Attempts++
		served, after := d.Policy.Serve(ctx, instance, r)
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
		time.Sleep(time.Duration((1 + jitter) * float64(max(after, retryPause))))
	}
	o.Latency = time.Since(started)
	return o
}
