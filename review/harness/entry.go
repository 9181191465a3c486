package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// recovery is the bound recovery-s of the small sites.
	recovery = 12 * time.Second
	// down is how long all processes are down; the site files' own final faults take 0.5 to 1.6 s.
	down = time.Second
)

// outcomes counts the requests that were sent since a moment, and those that were served.
type outcomes struct {
	mu           sync.Mutex
	sent, served int
}

func (o *outcomes) add(a answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent++
	if a.ok() {
		o.served++
	}
}

// take returns the counts and sets them to zero.
func (o *outcomes) take() (int, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent, served := o.sent, o.served
	o.sent, o.served = 0, 0
	return sent, served
}

// foreignEntry has another writer put an entry into the table of the backends that lacks fields and has one of another type, so
// that it names no backend to use. Then all processes are killed, and the primary is lost for good. Requests have to be served again
// once the bound of the recovery has passed.
func foreignEntry(w *world) (int, error) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var seen outcomes
	for n := range 9 {
		callers.Go(func() { mixedCaller(w, n, stop, &seen) })
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.store.write("servers", "x-17", map[string]any{
			"service": w.group.name, "address": freeAddresses(1)[0], "zone": "b", "slots": slots, "state": "ready", "db-role": "replica", "sequence": "none",
		})
		w.record.line("another writer puts the entry x-17: version and cold-remaining-ms missing, sequence a text")
	}
	time.Sleep(4 * time.Second)
	sent, served := seen.take()
	w.record.line("before the final fault: %d of %d requests served", served, sent)
	before := 4*served >= sent
	w.record.line("all processes are killed")
	for _, i := range w.fleet.instances {
		i.kill()
	}
	w.group.primary().lose()
	time.Sleep(down)
	for _, i := range w.fleet.instances {
		if err := i.start(); err != nil {
			return 0, err
		}
	}
	w.record.line("all processes start again")
	time.Sleep(recovery)
	seen.take()
	time.Sleep(20 * time.Second)
	sent, served = seen.take()
	close(stop)
	callers.Wait()
	text := fmt.Sprintf("sent later than %s after the start: %d requests, %d served", recovery, sent, served)
	w.record.line("%s", text)
	fmt.Println(text)
	if before && 4*served < sent {
		w.record.line("BROKEN: less than a quarter is served")
		return 1, nil
	}
	return 0, nil
}

// mixedCaller runs reads and writes on all routes, each in a session of its own.
func mixedCaller(w *world, n int, stop chan struct{}, seen *outcomes) {
	i := w.fleet.instances[n%len(w.fleet.instances)]
	for turn := 0; ; turn++ {
		host := []string{"signoff", "lookup", "audit"}[(n/3+turn)%3]
		text := "READ a"
		if host != "lookup" && turn%5 == 0 {
			text = fmt.Sprintf("WRITE m%d %d", n, turn)
		}
		c, err := dial(w.record, w.ledger, fmt.Sprintf("m%d-%d", n, turn), i.callers, host)
		if err != nil {
			seen.add(answer{broken: true})
		} else {
			seen.add(c.query(text))
			c.close()
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
