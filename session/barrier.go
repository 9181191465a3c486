package session

import "siskincove/endpoint"

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
