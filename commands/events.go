package commands

import (
	"io"

	"siskincove/event"
)

func init() {
	register("events", "List the numbered log events with their meanings.", &eventsCommand{})
}

type eventsCommand struct{}

// Run prints the catalogue as a Markdown table.
func (c *eventsCommand) Run(out *Output) error {
	all := event.Catalogue()
	return out.print(all, func(w io.Writer) {
		printLine(w, "| event | level | subsystem | message | meaning |")
		printLine(w, "| --- | --- | --- | --- | --- |")
		for _, e := range all {
			printLine(w, "| %d | %s | %s | %s | %s |", e.Number, e.Level, e.Subsystem, e.Message, e.Meaning)
		}
	})
}
