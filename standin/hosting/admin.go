package hosting

import (
	"fmt"
	"strconv"
)

// adminQuery answers STATUS, and applies HOLD, DEMOTE and RESUME before it answers with the status. A HOLD changes
// nothing on the primary, a DEMOTE nothing on a replica, and neither has an effect under an outdated term.
func (e *Endpoint) adminQuery(command, argument string) answer {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	switch command {
	case "HOLD":
		term, _ := strconv.ParseUint(argument, 10, 64)
		if !e.isPrimary() && term > e.group.term && term > e.heldTerm {
			e.heldTerm = term
		}
	case "DEMOTE":
		term, _ := strconv.ParseUint(argument, 10, 64)
		if e.isPrimary() && term > e.term {
			e.primary = false
			e.group.changed.Broadcast()
		}
	case "RESUME":
		e.heldTerm = 0
		e.group.replicate()
	}
	role := "replica"
	if e.isPrimary() {
		role = "primary"
	}
	return answer{rows: []string{fmt.Sprintf("%s %d %s %d 0 %d %d", role, e.term, e.logEnd(), e.heldTerm, e.busySlots, len(e.conns))}, receipt: "-"}
}
