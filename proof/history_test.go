package proof

import (
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskincove/soak"
	"siskincove/standin/history"
	"siskincove/standin/hosting"
)

const (
	// settleTime passes before the first fault; instances replace a primary only after knowing the endpoints for 4 s.
	settleTime = 4500 * time.Millisecond
	// recoveryLimit is the users' target for the duration of a failover.
	recoveryLimit = 17 * time.Second
)

func startPlatformCluster(t *testing.T) *soak.Deployment {
	t.Helper()
	return startPlatformClusterWith(t, hosting.Configuration(hosting.FirstVersion))
}

func startPlatformClusterWith(t *testing.T, configuration map[string]any) *soak.Deployment {
	t.Helper()
	d, err := soak.StartDeployment(t.Context(), soak.DeploymentOptions{
		Binaries: binaries, Directory: t.TempDir(), Zones: []string{"a", "b", "c"}, Configuration: configuration,
	})
	t.Cleanup(d.Close)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// schedules generates faults, each with the delay before it.
var schedules = rapid.Custom(func(t *rapid.T) []soak.Fault {
	all := soak.FaultNames()
	step := rapid.Custom(func(t *rapid.T) soak.Fault {
		return soak.Fault{
			After: time.Duration(rapid.IntRange(20, 1500).Draw(t, "ms")) * time.Millisecond,
			Name:  rapid.SampledFrom(all).Draw(t, "fault"), Target: rapid.IntRange(0, 2).Draw(t, "which"),
		}
	})
	return rapid.SliceOfN(step, 3, 8).Draw(t, "schedule")
})

// TestHistory runs generated schedules of faults and checks the history of what callers and endpoints saw.
// SISKINCOVE_SCHEDULES sets the number of schedules and SISKINCOVE_SCHEDULE the seed of the first one.
func TestHistory(t *testing.T) {
	for n := range envInt("SISKINCOVE_SCHEDULES", 4) {
		seed := envInt("SISKINCOVE_SCHEDULE", 1) + n
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			runSchedule(t, seed)
		})
	}
}

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

func runSchedule(t *testing.T, seed int) {
	d := startPlatformCluster(t)
	d.StartSessions(uint64(seed))
	time.Sleep(settleTime)
	schedule := schedules.Example(seed)
	injector := soak.NewInjector(d)
	for _, f := range schedule {
		time.Sleep(f.After)
		injector.Inject(f)
	}
	time.Sleep(time.Second)
	injector.Clear()
	checkRecovery(t, d, injector)
	t.Logf("schedule %v", schedule)
}

// awaitWrites waits until writes have been acknowledged from now on, and reports whether that was so within recoveryLimit.
func awaitWrites(d *soak.Deployment) bool {
	before := d.AcknowledgedWrites()
	for end := time.Now().Add(recoveryLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if d.AcknowledgedWrites() > before+50 {
			return true
		}
	}
	return false
}

// checkRecovery checks that writes resume once the faults have been cleared, and the history until then.
func checkRecovery(t *testing.T, d *soak.Deployment, injector *soak.Injector) {
	t.Helper()
	recovered := awaitWrites(d)
	d.StopSessions()
	h := d.History()
	violations := history.Check(h)
	t.Logf("%d operations, %d runs, %d commits, %d promotions", len(h.Operations), len(h.Runs), len(h.Log), d.Group.Promotions())
	for _, line := range violations[:min(len(violations), 10)] {
		t.Error(line)
	}
	for _, err := range injector.Errors() {
		t.Error(err)
	}
	if !recovered {
		t.Errorf("writes did not resume within %s", recoveryLimit)
	}
	if t.Failed() {
		for _, i := range d.Instances {
			t.Logf("%s", tail(i.Log(), 40))
		}
	}
}
