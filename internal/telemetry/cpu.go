package telemetry

import (
	"syscall"
	"time"
)

// cpuSeconds returns the processor time, user and system, that this process has
// used since its start.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	total := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return total.Seconds()
}
