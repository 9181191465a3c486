package hosted

import (
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
		i.options.Logger.Log(event.TrafficCounted, log.Fields{"flows": meter.Format(i.options.Traffic.Totals())})
		if err != nil {
			return
		}
	}
}
