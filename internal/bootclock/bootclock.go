// Package bootclock reads the clock that counts from the start of the machine.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"

	"heatherreel/internal/problem"
)

// Now reads CLOCK_BOOTTIME. Unlike the monotonic clock of package time, it also advances while the machine is suspended.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// All Linux versions that Go supports have this clock.
		panic(problem.New(problem.Invalid, "run the daemon on Linux", "cannot read CLOCK_BOOTTIME: %w", err))
	}
	return time.Duration(t.Nano())
}
