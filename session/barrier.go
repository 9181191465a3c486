package session

import (
	"slices"

	"siskincove/endpoint"
)

// Barrier returns the highest of the log positions with which members of a group answered, and false if fewer than a
// majority answered. Every acknowledged write is in the log of a majority, and any two majorities share an endpoint, so a
// barrier requested after a session arrived covers every write acknowledged before it arrived.
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

// Majority returns the smallest number of members such that any two sets of that size share a member.
func Majority(members int) int { return members/2 + 1 }

// Confirmed returns the highest log position of a term that a majority of a group's members holds, or zero if there is none
// or the group has a single member.
// The primary of the term holds every position of it; reports are the last known statuses of the other members.
//
// A report counts only if the member has not promised a higher term and the last record of its log is of the term. A member
// that has promised a higher term may not have that term's first record yet: its log would then rank below a log of a term
// in between, and a record that it replicated from the primary could be lost.
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
