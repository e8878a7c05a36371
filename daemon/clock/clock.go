// Package clock reads the clock that leases are measured on, and waits.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started, including the time for
// which it was suspended. The monotonic clock of the runtime leaves that out,
// so a lease would seem to hold after a suspension.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for clocks that the kernel does not have.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// Unix returns the time of day since 1970.
func Unix() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Wait pauses unless stop is closed first, and reports whether it did pause.
func Wait(d time.Duration, stop <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}
