package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the service whose time also counts while the machine is suspended, and that no change of the time of day
// moves. Its times are no dates: only their differences mean something. Timers do not count a suspension.
type Boot struct{ System }

// Now returns the time since the machine was booted.
func (Boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux kernel that Go supports has this clock.
		panic(err)
	}
	return time.Unix(0, ts.Nano())
}
