package hosted

import (
	"time"

	"siskincove/settings"
)

// Reload applies changed settings to the running instance. Only changes of the regions, the seeds, the drain time of
// endpoints and the withdrawal of keys have an effect.
func (i *Instance) Reload(next settings.Settings) {
	i.settings.Store(&next)
	i.directory.Reapply()
	i.freshness.Wake()
}

// endpointDrainTime returns for how long a leaving endpoint may still get new work after its notice.
func (i *Instance) endpointDrainTime() time.Duration { return i.settings.Load().Drain.Endpoint.Std() }

// regions returns the region of each failure domain.
func (i *Instance) regions() map[string]string { return i.settings.Load().Regions }

// seeds returns addresses at which other instances may be found.
func (i *Instance) seeds() []string { return i.settings.Load().Listen.Seeds }
