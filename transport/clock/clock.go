// Package clock reads the boot clock, which also advances while the host is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the host's boot, including suspensions, as a time that may only be compared with others of
// this clock.
//
// It falls back to the monotonic clock where the system has no boot clock.
func Boot() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Now()
	}
	return time.Unix(now.Sec, now.Nsec)
}
