package commands

import (
	"io"

	"siskincove/event"
)

func init() {
	register("events", "List every numbered log event and what it means.", &eventsCommand{})
}

type eventsCommand struct{}

// Run prints the catalogue as the rows of a table.
func (c *eventsCommand) Run(out *Output) error {
	all := event.Catalogue()
	return out.print(all, func(w io.Writer) {
		line(w, "| event | level | subsystem | message | meaning |")
		line(w, "| --- | --- | --- | --- | --- |")
		for _, e := range all {
			line(w, "| %d | %s | %s | %s | %s |", e.Number, e.Level, e.Subsystem, e.Message, e.Meaning)
		}
	})
}
