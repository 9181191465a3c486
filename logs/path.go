package logs

import "slices"

// Path collects the lines about one request.
type Path struct {
	request string
	entries []Entry
}

// NewPath returns an empty collection for the request with the given ID.
func NewPath(request string) *Path { return &Path{request: request} }

// Add takes in a line if it is about the request.
func (p *Path) Add(e Entry) {
	if e.Field("request") == p.request {
		p.entries = append(p.entries, e)
	}
}

// Entries returns the lines ordered by time. Lines of the same time keep the order in which they were added.
func (p *Path) Entries() []Entry {
	out := slices.Clone(p.entries)
	slices.SortStableFunc(out, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return out
}
