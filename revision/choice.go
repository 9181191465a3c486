package revision

// Known is a revision that was heard of and the peer that has it.
type Announcement struct {
	Number  uint64
	Address string
}

// Newer returns the higher of two revisions; no revision ever goes down.
func (k Announcement) Newer(other Announcement) Announcement {
	if other.Number > k.Number {
		return other
	}
	return k
}
