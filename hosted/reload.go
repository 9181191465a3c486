package hosted

import (
	"time"

	"siskincove/settings"
)

// Reload puts settings in force while the instance runs; of those that settings.Reload leaves as they were, nothing changes.
func (i *Instance) Reload(next settings.Settings) {
	i.settings.Store(&next)
	i.directory.Reapply()
}

// endpointDrain returns how long after its notice a leaving endpoint may get new work.
func (i *Instance) endpointDrain() time.Duration { return i.settings.Load().Drain.Endpoint.Std() }

// regions returns the region of each failure domain.
func (i *Instance) regions() map[string]string { return i.settings.Load().Regions }

// seeds returns addresses at which other instances may be met.
func (i *Instance) seeds() []string { return i.settings.Load().Listen.Seeds }
