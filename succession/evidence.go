package succession

import (
	"strings"

	"github.com/apex/log"

	"siskincove/directory"
)

// addEvidence adds to the fields of a started succession which endpoints it counts, with the ends of their logs, which ones it
// leaves out, which of both have departed, and how current the endpoints are.
func (c *Coordinator) addEvidence(fields log.Fields, targets probeTargets, results []ProbeResult, plan Plan, reading directory.Reading) {
	var counted, omitted, departed []string
	for _, r := range results {
		switch {
		case r.Endpoint == plan.OldPrimary:
		case r.Status != nil:
			counted = append(counted, r.Endpoint+"="+r.Status.Log.String())
		default:
			omitted = append(omitted, r.Endpoint)
		}
	}
	for _, d := range targets.departures {
		departed = append(departed, targets.label(d.Endpoint))
	}
	fields["counted"], fields["omitted"], fields["departed"] = strings.Join(counted, ","), strings.Join(omitted, ","), strings.Join(departed, ",")
	if plan.AcceptLoss {
		fields["acceptloss"] = true
	}
	if !reading.ReadAt.IsZero() {
		fields["endpointsage"] = c.options.Clock.Now().Sub(reading.ReadAt).String()
	}
	if reading.Err != nil {
		fields["unread"] = reading.Err.Error()
	}
}
