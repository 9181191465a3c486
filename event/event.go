package event

import (
	"cmp"
	"slices"

	"github.com/apex/log"
)

// Event is one kind of log line. The meaning of its number never changes.
type Event struct {
	Number    int       `json:"number"`
	Level     log.Level `json:"level"`
	Subsystem string    `json:"subsystem"`
	Message   string    `json:"message"`
	// Meaning explains to operators what happened and what to do.
	Meaning string `json:"meaning"`
}

var catalogue []Event

func define(number int, level log.Level, subsystem, message, meaning string) Event {
	e := Event{Number: number, Level: level, Subsystem: subsystem, Message: message, Meaning: meaning}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns every event, ordered by number.
func Catalogue() []Event {
	out := slices.Clone(catalogue)
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.Number, b.Number) })
	return out
}
