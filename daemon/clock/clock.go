// Package clock reads the clock on which leases are measured, and waits for a
// duration or a stop signal.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine booted, including the time for which
// it was suspended. The monotonic clock of the Go runtime does not advance during
// a suspension, so an expired lease would appear valid afterwards.
func Boot() time.Duration {
	var timespec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &timespec); err != nil {
		// The call fails only for clocks that the kernel does not support.
		panic(err)
	}
	return time.Duration(timespec.Nano())
}

// Unix returns the wall-clock time since the Unix epoch (1970).
func Unix() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Wait waits for the duration d and returns true. It returns false as soon as
// stop is closed.
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
