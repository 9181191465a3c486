package failover

// Phase is how far a ballot has come.
type Phase uint8

const (
	// Fencing collects promises from a majority.
	Fencing Phase = iota
	// Promoting waits for the chosen endpoint to lead.
	Promoting
	// Following waits for a majority to follow it.
	Following
	// Done ballots have a primary that a majority follows.
	Done
	// Failed ballots ended without one; only a higher term may be tried.
	Failed
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"fencing", "promoting", "following", "done", "failed"}[p]
}
