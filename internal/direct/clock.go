package direct

import (
	"time"

	"golang.org/x/sys/unix"
)

// clock gives the time since the process started, by the steady clock.
type clock struct{ start time.Time }

func (c clock) now() time.Duration { return time.Since(c.start) }

// fromBoot turns a time of bootTime, which is boot now, into one of this clock.
func (c clock) fromBoot(at, boot time.Duration) time.Duration { return c.now() - (boot - at) }

// bootTime is a steady clock that also counts the time for which the machine was
// suspended. Leases go by it: the steady clock stands still meanwhile, and a holder
// that woke up would believe that its lease, long given to another, still runs.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every kernel that Go runs on has it
	}
	return time.Duration(t.Nano())
}
