package limit

// Class is a group of requests that share a queue.
type Class struct {
	Name string
	// Weight is the class's share of the slots against other classes that wait.
	Weight int
	// Queue is how many requests may wait.
	Queue int
}

const (
	defaultWeight = 1
	defaultQueue  = 256
)

func (c Class) normal() Class {
	if c.Weight <= 0 {
		c.Weight = defaultWeight
	}
	if c.Queue <= 0 {
		c.Queue = defaultQueue
	}
	return c
}
