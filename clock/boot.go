package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock backed by CLOCK_BOOTTIME: its time advances while the machine is suspended and is not affected by
// changes of the wall clock. Its times are not dates; only their differences are meaningful. Its timers do not advance
// during a suspension.
type Boot struct{ System }

// Now returns the time since boot, as a time after the Unix epoch.
func (Boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Can't fail: every Linux kernel that Go supports has this clock.
		panic(err)
	}
	return time.Unix(0, ts.Nano())
}
