package direct

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock gives the time since the process started, by the monotonic clock.
type clock struct{ start time.Time }

func (c clock) now() time.Duration { return time.Since(c.start) }

// fromBoot converts a time of bootTime into one of this clock; boot is the current bootTime.
func (c clock) fromBoot(at, boot time.Duration) time.Duration { return c.now() - (boot - at) }

// bootTime returns the time of a monotonic clock that also counts while the machine is suspended.
// Leases use it: the usual monotonic clock stops during a suspension, and a holder that resumes
// would believe that its lease, long granted to another, is still valid.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every kernel that Go supports has it
	}
	return time.Duration(t.Nano())
}
