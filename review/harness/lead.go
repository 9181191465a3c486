package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// cutTime is the site files' own dose of primary_cut (replicas): for_s = 5.0.
	cutTime = 5 * time.Second
	// shapes is how many statements the callers prepare, each under any name.
	shapes = 60
)

// lead partitions the primary from its replicas for some seconds, so that another backend is promoted while the former one goes on
// answering. Callers run transactions whose later statements are prepared ones, and afterwards reads of the same shapes.
func lead(w *world) (int, error) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range 18 {
		callers.Go(func() { transactionCaller(w, n, stop) })
		callers.Go(func() { readCaller(w, n, stop) })
		callers.Go(func() { writeCaller(w, n, stop) })
	}
	time.Sleep(4 * time.Second)
	p := w.group.primary()
	if w.trouble {
		w.record.line("backend %s is partitioned from its replicas", p.id)
		w.group.set(func() { p.cut = true })
	}
	time.Sleep(cutTime)
	w.group.set(func() { p.cut = false })
	w.record.line("no partition")
	after := w.record.since() + time.Second
	time.Sleep(12 * time.Second)
	close(stop)
	callers.Wait()
	return w.countPinned(after), nil
}

// transactionCaller runs transactions with pauses: a read, then a read of a prepared statement.
func transactionCaller(w *world, n int, stop chan struct{}) {
	at := w.fleet.instances[n%len(w.fleet.instances)].callers
	for turn := 0; ; turn++ {
		name := fmt.Sprintf("t%d-%d", n, turn)
		c, err := dial(w.record, w.ledger, name, at, "signoff")
		if err == nil {
			shape := (n + turn*7) % shapes
			for _, text := range []string{"BEGIN", "READ a", fmt.Sprintf("PREPARE s1 READ q%d", shape), "", "EXEC s1 b", "COMMIT"} {
				if text == "" {
					time.Sleep(300 * time.Millisecond)
				} else if a := c.query(text); a.broken {
					break
				}
			}
			c.close()
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// readCaller runs single reads of prepared statements, which replicas may serve.
func readCaller(w *world, n int, stop chan struct{}) {
	at := w.fleet.instances[n%len(w.fleet.instances)].callers
	for turn := 0; ; turn++ {
		name := fmt.Sprintf("r%d-%d", n, turn)
		c, err := dial(w.record, w.ledger, name, at, "lookup")
		if err == nil {
			for _, text := range []string{fmt.Sprintf("PREPARE s1 READ q%d", (n*5+turn)%shapes), "EXEC s1 b"} {
				if a := c.query(text); a.broken {
					break
				}
			}
			c.close()
		}
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// writeCaller runs single writes.
func writeCaller(w *world, n int, stop chan struct{}) {
	at := w.fleet.instances[n%len(w.fleet.instances)].callers
	for turn := 0; ; turn++ {
		if c, err := dial(w.record, w.ledger, fmt.Sprintf("w%d-%d", n, turn), at, "signoff"); err == nil {
			c.query(fmt.Sprintf("WRITE w%d %d", n, turn))
			c.close()
		}
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
	}
}
