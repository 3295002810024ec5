// Package clock reads the clock that also counts the time for which the host is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the host's boot, suspensions included, as a time that only compares with its like.
//
// It falls back on the monotonic clock where the system has no such clock.
func Boot() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Now()
	}
	return time.Unix(now.Sec, now.Nsec)
}
