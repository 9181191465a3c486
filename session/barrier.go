package session

import (
	"slices"

	"siskincove/endpoint"
)

// Barrier returns the highest log among the answers of a majority of a group, and false when fewer answered.
// Every acknowledged write stands in the log of a majority, and any two majorities share an endpoint, so a barrier
// whose questions were asked after a session arrived covers every write acknowledged before it arrived.
func Barrier(logs []endpoint.Position, members int) (endpoint.Position, bool) {
	if len(logs) < Majority(members) {
		return endpoint.Position{}, false
	}
	highest := endpoint.Position{}
	for _, log := range logs {
		highest = highest.Max(log)
	}
	return highest, true
}

// Majority returns the least number of members of which any two sets share one.
func Majority(members int) int { return members/2 + 1 }

// Confirmed returns the highest position of a term that a majority of a group's members holds, when the primary of the
// term holds all of it and reports are what the others last said of themselves; it is zero when there is none.
//
// A report counts only if the member had promised nothing above the term and the last record of its log is of the term.
// A member that has gone over to a higher term may still be short of that term's first record: its log would then lose
// against a log of a term in between, and with it a record that it took over from the primary.
func Confirmed(reports []endpoint.Status, members int, term endpoint.LogTerm) endpoint.Position {
	var logs []endpoint.Position
	for _, r := range reports {
		if endpoint.LogTerm(r.Fenced) == term && r.Log.Term == term {
			logs = append(logs, r.Log)
		}
	}
	needed := Majority(members) - 1
	if needed == 0 || len(logs) < needed {
		return endpoint.Position{}
	}
	slices.SortFunc(logs, func(a, b endpoint.Position) int { return b.Compare(a) })
	return logs[needed-1]
}
