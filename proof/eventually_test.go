package proof

import (
	"strings"
	"time"
)

const (
	eventuallyLimit = 10 * time.Second
	eventuallyPause = 20 * time.Millisecond
)

// eventually reports whether a condition holds within a generous limit.
func eventually(condition func() bool) bool {
	deadline := time.Now().Add(eventuallyLimit)
	for time.Now().Before(deadline) {
		if condition() {
			return true
		}
		time.Sleep(eventuallyPause)
	}
	return condition()
}

func contains(text, part string) bool { return strings.Contains(text, part) }
