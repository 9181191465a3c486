package main

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"
)

// greyShare and greyTime are the site files' own dose of srv_grey: x = 0.45 and for_s = 6.5.
const (
	greyShare = 0.45
	greyTime  = 6500 * time.Millisecond
)

// grey lets the primary fail a part of its requests for some seconds. Callers set a value of their own, prepare statements and run
// reads and writes, before, during and after that. Each statement that a backend ran must have run with the values that were
// acknowledged to its caller.
func grey(w *world) (int, error) {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range 8 {
		callers.Go(func() { settingCaller(w, w.fleet.instances[n%2], n, stop) })
	}
	// The third instance has one caller only.
	callers.Go(func() { preparingCaller(w, w.fleet.instances[2], stop) })
	time.Sleep(4 * time.Second)
	p := w.group.primary()
	if w.trouble {
		w.record.line("backend %s fails a part of its requests", p.id)
		w.group.set(func() { p.failing = greyShare })
	}
	time.Sleep(greyTime)
	w.group.set(func() { p.failing = 0 })
	w.record.line("all backends are well")
	after := w.record.since() + time.Second
	time.Sleep(8 * time.Second)
	close(stop)
	callers.Wait()
	return w.countPinned(after), nil
}

// settingCaller opens sessions one after the other. Each sets a value of its own and runs a few statements.
func settingCaller(w *world, i *instance, n int, stop chan struct{}) {
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		name := fmt.Sprintf("%d-%d", n, turn)
		c, err := dial(w.record, w.ledger, name, i.callers, "signoff")
		if err != nil {
			continue
		}
		steps := []string{
			"SET lab lab" + name, "WRITE w" + name + " one", "READ w" + name, fmt.Sprintf("PREPARE s1 READ q%d", turn%5), "EXEC s1 w" + name,
			"WRITE w" + name + " two",
		}
		for _, text := range steps {
			// After an error in response to SET or PREPARE the requester closes its session.
			if a := c.query(text); a.broken || !a.ok() && (strings.HasPrefix(text, "SET") || strings.HasPrefix(text, "PREPARE")) {
				break
			}
		}
		c.close()
	}
}

// preparingCaller opens sessions one after the other. Each prepares a write under the same name and runs it.
func preparingCaller(w *world, i *instance, stop chan struct{}) {
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		name := fmt.Sprintf("p-%d", turn)
		c, err := dial(w.record, w.ledger, name, i.callers, "signoff")
		if err != nil {
			continue
		}
		if a := c.query(fmt.Sprintf("PREPARE s1 WRITE q%d", 10+turn%80)); a.ok() {
			c.query("EXEC s1 p " + name)
		}
		c.close()
	}
}

// countPinned counts the statements that ran with other values than their caller's, and the executions of names that were unknown
// to the backend though their preparing was acknowledged.
func (w *world) countPinned(after time.Duration) int {
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	values, unknown, late := 0, 0, 0
	for _, r := range w.group.runs {
		known := w.ledger.attempts[r.id]
		if r.code == "" && !maps.Equal(r.settings, known.settings) {
			values++
			w.record.line("BROKEN at %.4f: %s (%s) ran at %s on connection %d with %v; its caller's values are %v", r.at.Seconds(), r.id, r.text, r.backend, r.conn, r.settings, known.settings)
		} else if r.code == "NOSTMT" && !r.known && known.shape != "" {
			unknown++
			w.record.line("BROKEN at %.4f: %s (%s) named a statement unknown to %s on connection %d; its caller's %q was acknowledged", r.at.Seconds(), r.id, r.text, r.backend, r.conn, known.shape)
		} else {
			continue
		}
		if r.at > after {
			late++
		}
	}
	text := fmt.Sprintf("with other values: %d; unknown names: %d; of both, over a second after the disruption: %d; callers that were told NOSTMT: %d", values, unknown, late, w.ledger.unknown)
	w.record.line("%s", text)
	fmt.Println(text)
	return values + unknown
}
