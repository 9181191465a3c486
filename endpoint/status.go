package endpoint

// Status is what an endpoint says of itself, the same for all vendors.
type Status struct {
	Role      Role
	Fenced    FencedTerm
	Log       Position
	Applied   Position
	Receiving bool
}

// Leads reports whether the endpoint is the primary of the highest term it knows.
func (s Status) Leads() bool {
	return s.Role == Primary && uint64(s.Fenced) == uint64(s.Log.Term)
}
