package revision

// Announcement is a revision number and the address of the peer that announced it.
type Announcement struct {
	Number  uint64
	Address string
}

// Newer returns the announcement with the higher number, or a if both are equal. Revision numbers never decrease.
func (a Announcement) Newer(other Announcement) Announcement {
	if other.Number > a.Number {
		return other
	}
	return a
}
