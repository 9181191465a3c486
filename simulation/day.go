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
	Share  float64
	Writes float64
	Work   int
	// Aim is the time in which an answer is worth most, Late the part that a later one is worth, and Limit the time after
	// which the caller has gone.
	Aim   time.Duration
	Late  float64
	Limit time.Duration
}

// Policy is how instances serve requests.
type Policy interface {
	// Serve runs a request of an instance; after is when to come back if it was refused.
	Serve(ctx context.Context, instance int, r Request) (served bool, after time.Duration)
	// Led tells that another endpoint leads.
	Led(endpoint string)
}

// Request is one try of a caller.
type Request struct {
	ID     string
	Class  Class
	Writes bool
}

// Day is a load on a group over some time.
type Day struct {
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
	Retries    = 2
	retryPause = 20 * time.Millisecond
)

// Outcome is what became of one caller's request.
type Outcome struct {
	Class  string
	At     time.Duration
	Took   time.Duration
	Served bool
	InAim  bool
	// Worth is 1 for an answer in its aim, less for a later one and 0 for none.
	Worth float64
	Tries int
}

// Run plays the day and returns what became of every request.
func (d Day) Run() []Outcome {
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
		r := Request{ID: fmt.Sprintf("q%d", n), Class: class, Writes: random.Float64() < class.Writes}
		at, instance, jitter := time.Since(started), random.IntN(d.Instances), random.Float64()
		running.Go(func() {
			o := d.call(ctx, instance, r, jitter)
			o.At = at
			mu.Lock()
			defer mu.Unlock()
			out = append(out, o)
		})
	}
	running.Wait()
	slices.SortFunc(out, func(a, b Outcome) int { return int(a.At - b.At) })
	return out
}

func (d Day) draw(random *rand.Rand) Class {
	x := random.Float64()
	for _, c := range d.Classes {
		if x -= c.Share; x < 0 {
			return c
		}
	}
	return d.Classes[len(d.Classes)-1]
}

// call tries until the request is served, the tries are spent or the caller has gone.
func (d Day) call(ctx context.Context, instance int, r Request, jitter float64) Outcome {
	started := time.Now()
	o := Outcome{Class: r.Class.Name}
	for o.Tries < 1+Retries && time.Since(started) < r.Class.Limit {
		o.Tries++
		served, after := d.Policy.Serve(ctx, instance, r)
		if served {
			o.Took = time.Since(started)
			o.Served = o.Took <= r.Class.Limit
			o.InAim = o.Took <= r.Class.Aim
			if o.InAim {
				o.Worth = 1
			} else if o.Served {
				o.Worth = r.Class.Late
			}
			return o
		}
		time.Sleep(time.Duration((1 + jitter) * float64(max(after, retryPause))))
	}
	o.Took = time.Since(started)
	return o
}
