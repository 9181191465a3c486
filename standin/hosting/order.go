package hosting

import (
	"fmt"
	"strconv"
)

// order carries out a question or an order about the endpoint itself.
func (e *Endpoint) order(word, argument string) answer {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	switch word {
	case "HOLD":
		term, _ := strconv.ParseUint(argument, 10, 64)
		if !e.leads() && term > e.group.term && term > e.held {
			e.held = term
		}
	case "DEMOTE":
		term, _ := strconv.ParseUint(argument, 10, 64)
		if e.leads() && term > e.term {
			e.primary = false
			e.group.changed.Broadcast()
		}
	case "RESUME":
		e.held = 0
		e.group.replicate()
	}
	role := "replica"
	if e.leads() {
		role = "primary"
	}
	return answer{rows: []string{fmt.Sprintf("%s %d %s %d 0 %d %d", role, e.term, e.end(), e.held, e.busy, len(e.conns))}, done: "-"}
}
