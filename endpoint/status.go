package endpoint

// Status is the status that an endpoint reports, in the same form for all vendors.
type Status struct {
	Role Role
	// Fenced is the highest term that the endpoint has promised.
	Fenced FencedTerm
	// Log is the end of the received log and Applied the end of the applied one.
	Log     Position
	Applied Position
	// Receiving is set if a replica is connected to its primary.
	Receiving bool
}

// Leads reports whether the endpoint is the primary of the highest term that it has promised.
func (s Status) Leads() bool {
	return s.Role == Primary && uint64(s.Fenced) == uint64(s.Log.Term)
}
