package proof

import (
	"strings"
	"time"
)

const (
	eventuallyTimeout  = 10 * time.Second
	eventuallyInterval = 20 * time.Millisecond
)

// eventually polls a condition and reports whether it held within eventuallyTimeout.
func eventually(condition func() bool) bool {
	deadline := time.Now().Add(eventuallyTimeout)
	for time.Now().Before(deadline) {
		if condition() {
			return true
		}
		time.Sleep(eventuallyInterval)
	}
	return condition()
}

func contains(text, part string) bool { return strings.Contains(text, part) }
