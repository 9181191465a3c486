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
// term holds all of it and held are the last logs that the others reported; it is zero when there is none.
// Logs of other terms do not count: a replica that holds as many records of another term holds another history.
func Confirmed(held []endpoint.Position, members int, term endpoint.LogTerm) endpoint.Position {
	var logs []endpoint.Position
	for _, log := range held {
		if log.Term == term {
			logs = append(logs, log)
		}
	}
	needed := Majority(members) - 1
	if needed == 0 || len(logs) < needed {
		return endpoint.Position{}
	}
	slices.SortFunc(logs, func(a, b endpoint.Position) int { return b.Compare(a) })
	return logs[needed-1]
}
