package config

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whenever processes that follow the schedule live, some snapshot on the log is
// younger than the retention, together with every record after it.
func TestScheduleCoversRetention(t *testing.T) {
	const retention = 24 * time.Hour
	rapid.Check(t, func(t *rapid.T) {
		offset := uint64(1)
		needed := time.Duration(0) // when the oldest record still needed was appended
		now := time.Duration(0)
		for now < 10*retention {
			start := now
			life := time.Duration(rapid.Int64Range(int64(retention/3), int64(3*retention)).Draw(t, "life"))
			c := NewSnapshotSchedule(retention, start, rapid.Float64Range(0, 1).Draw(t, "rank"))
			for ; now < start+life; now += retention / 200 {
				c.CaughtUp(offset, now)
				if now >= c.Due() {
					c.Wrote(now)
					c.Saw(offset)
					needed = now
					offset++
				}
				if now-needed >= retention {
					t.Fatalf("at %v the oldest record needed is %v old", now, now-needed)
				}
			}
		}
	})
}

// A snapshot as of an offset from before the process's start, or of one long
// ago, doesn't put the next one off for half a retention from now.
func TestScheduleDistrustsLateSnapshots(t *testing.T) {
	c := NewSnapshotSchedule(64*time.Hour, 0, 0)
	due := c.Due()
	c.CaughtUp(10, 0)
	c.Saw(9)
	if c.Due() != due {
		t.Errorf("a snapshot of unknown age moved the next one to %v", c.Due())
	}
	c.CaughtUp(20, 20*time.Hour)
	c.Saw(10)
	if want := 32 * time.Hour; c.Due() != want {
		t.Errorf("due at %v, want %v", c.Due(), want)
	}
}

// Of many processes usually one writes: in ten retentions little more than the
// two a retention that are needed.
func TestScheduleOfManyWritesFew(t *testing.T) {
	const (
		retention = 24 * time.Hour
		step      = retention / 2000
		processes = 50
	)
	all := make([]*SnapshotSchedule, processes)
	for i := range all {
		all[i] = NewSnapshotSchedule(retention, 0, float64(i)/processes)
	}
	offset, written := uint64(1), 0
	for now := time.Duration(0); now < 10*retention; now += step {
		end := offset // what all of them see at this step
		for _, c := range all {
			c.CaughtUp(end, now)
			if now >= c.Due() {
				c.Wrote(now)
				written++
				offset++
			}
		}
		if offset > end {
			for _, c := range all {
				c.Saw(end)
			}
		}
	}
	if written < 19 || written > 25 {
		t.Errorf("%d snapshots in ten retentions, want about 20", written)
	}
}
