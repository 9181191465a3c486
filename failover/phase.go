package failover

// Phase is a stage of a ballot.
type Phase uint8

const (
	// Fencing collects promises from a majority.
	Fencing Phase = iota
	// Promoting waits for the elected endpoint to become primary.
	Promoting
	// Following waits until the new primary and its followers are a majority.
	Following
	// Done means that the ballot has elected a primary that a majority follows.
	Done
	// Failed means that the ballot has ended without such a primary; another attempt needs a higher term.
	Failed
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"fencing", "promoting", "following", "done", "failed"}[p]
}
