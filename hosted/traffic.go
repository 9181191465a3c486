package hosted

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/meter"
)

// trafficInterval is how often the totals of the traffic are logged.
const trafficInterval = 10 * time.Second

// distance returns how far the instance at an address is.
func (i *Instance) distance(address string) meter.Distance {
	<-i.initialized
	return meter.DistanceBetween(i.options.Settings.Instance.Domain, i.members.DomainOf(address))
}

// logTraffic logs the totals of the traffic at intervals, and once when the instance ends.
func (i *Instance) logTraffic() {
	defer close(i.trafficDone)
	if i.options.Traffic == nil {
		return
	}
	for {
		err := clock.Wait(i.ctx, i.options.Clock, trafficInterval)
		i.options.Logger.Log(event.TrafficCounted, log.Fields{"flows": formatFlows(i.options.Traffic.Totals())})
		if err != nil {
			return
		}
	}
}

// formatFlows returns the totals as a list of purpose@distance=count:bytes, the largest first.
func formatFlows(totals map[meter.Flow]meter.Amount) string {
	flows := make([]meter.Flow, 0, len(totals))
	for flow := range totals {
		flows = append(flows, flow)
	}
	slices.SortFunc(flows, func(a, b meter.Flow) int {
		return cmp.Or(cmp.Compare(totals[b].Bytes, totals[a].Bytes), cmp.Compare(a.Purpose, b.Purpose), cmp.Compare(a.Distance, b.Distance))
	})
	parts := make([]string, 0, len(flows))
	for _, flow := range flows {
		parts = append(parts, fmt.Sprintf("%s@%s=%d:%d", flow.Purpose, flow.Distance, totals[flow].Count, totals[flow].Bytes))
	}
	return strings.Join(parts, " ")
}
