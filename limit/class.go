package limit

// Class is a group of requests that share a queue.
type Class struct {
	Name string
	// Weight is the class's share of the slots relative to other classes with waiting requests.
	Weight int
	// Queue is the greatest number of waiting requests.
	Queue int
}

const (
	defaultWeight = 1
	defaultQueue  = 256
)

func (c Class) withDefaults() Class {
	if c.Weight <= 0 {
		c.Weight = defaultWeight
	}
	if c.Queue <= 0 {
		c.Queue = defaultQueue
	}
	return c
}
