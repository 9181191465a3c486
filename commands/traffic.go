package commands

import (
	"io"

	"siskincove/logs"
	"siskincove/meter"
)

type trafficCommand struct {
	File []string `arg:"" optional:"" help:"Log files, each of one instance unless its lines start with the instance's name; standard input if there is none."`
}

type flowReport struct {
	Purpose  string `json:"purpose"`
	Distance string `json:"distance"`
	Count    int64  `json:"count"`
	Bytes    int64  `json:"bytes"`
}

// Run prints the traffic of all instances together.
func (c *trafficCommand) Run(out *Output) error {
	traffic := logs.NewTraffic()
	reader, err := readLogs(c.File, traffic.Add)
	if err != nil {
		return err
	}
	totals := traffic.Totals()
	report := make([]flowReport, 0, len(totals))
	for _, flow := range meter.LargestFirst(totals) {
		report = append(report, flowReport{Purpose: flow.Purpose, Distance: string(flow.Distance), Count: totals[flow].Count, Bytes: totals[flow].Bytes})
	}
	return out.print(report, func(w io.Writer) {
		printLine(w, "%-28s %-8s %10s %12s", "purpose", "distance", "count", "bytes")
		for _, f := range report {
			printLine(w, "%-28s %-8s %10d %12d", f.Purpose, f.Distance, f.Count, f.Bytes)
		}
		printMalformed(w, reader)
	})
}
