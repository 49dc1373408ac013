package config

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// As long as some process follows the schedule, there is a snapshot on the log that
// is younger than the retention and so is every record after it.
func TestScheduleCoversRetention(t *testing.T) {
	const retention = 24 * time.Hour
	rapid.Check(t, func(t *rapid.T) {
		offset := uint64(1)
		needed := time.Duration(0) // when the oldest record still needed was appended
		now := time.Duration(0)
		var before *SnapshotSchedule
		for now < 10*retention {
			start := now
			life := time.Duration(rapid.Int64Range(int64(retention/3), int64(3*retention)).Draw(t, "life"))
			c := NewSnapshotSchedule(retention, start, rapid.Float64Range(0, 1).Draw(t, "rank"))
			if before != nil && rapid.Bool().Draw(t, "told") {
				// The information of a process that has ended arrives a minute late.
				c.ObservePeer(before.FreshFor(now), now+time.Minute)
			}
			before = c
			for ; now < start+life; now += retention / 200 {
				c.ObserveLogEnd(offset, now)
				if now >= c.NextWrite() {
					c.RecordWrite(now)
					c.ObserveSnapshot(offset)
					needed = now
					offset++
				}
				if now-needed >= retention {
					t.Fatalf("at %v the oldest required record is %v old", now, now-needed)
				}
			}
		}
	})
}

// A snapshot as of an offset from before the start of the process doesn't delay the
// next one, and one as of an old offset delays it from the time of that offset only.
func TestScheduleDistrustsLateSnapshots(t *testing.T) {
	c := NewSnapshotSchedule(64*time.Hour, 0, 0)
	due := c.NextWrite()
	c.ObserveLogEnd(10, 0)
	c.ObserveSnapshot(9)
	if c.NextWrite() != due {
		t.Errorf("a snapshot of unknown age delayed the next one to %v", c.NextWrite())
	}
	c.ObserveLogEnd(20, 20*time.Hour)
	c.ObserveSnapshot(10)
	if want := 32 * time.Hour; c.NextWrite() != want {
		t.Errorf("due at %v, want %v", c.NextWrite(), want)
	}
}

// Of many processes usually one writes: in ten retentions hardly more than the
// required two per retention, whether or not processes are replaced. If each new
// process wrote a snapshot because it had seen none, a fleet that replaces one process
// in eleven each day would write some fifteen a day where two are needed.
func TestScheduleOfManyWritesFew(t *testing.T) {
	const (
		retention = 24 * time.Hour
		step      = retention / 2000
		processes = 50
	)
	for _, replaced := range []int{0, 50, 500} { // in ten retentions
		rng := rand.New(rand.NewPCG(1, 1))
		all := make([]*SnapshotSchedule, processes)
		for i := range all {
			all[i] = NewSnapshotSchedule(retention, 0, float64(i)/processes)
		}
		offset, written := uint64(1), 0
		for now := time.Duration(0); now < 10*retention; now += step {
			if rng.IntN(20000) < replaced {
				left := all[rng.IntN(processes)].FreshFor(now)
				i := rng.IntN(processes)
				all[i] = NewSnapshotSchedule(retention, now, float64(i)/processes)
				all[i].ObservePeer(left, now)
			}
			end := offset // the end of the log that all processes see at this step
			for _, c := range all {
				c.ObserveLogEnd(end, now)
				if now >= c.NextWrite() {
					c.RecordWrite(now)
					written++
					offset++
				}
			}
			if offset > end {
				for _, c := range all {
					c.ObserveSnapshot(end)
				}
			}
		}
		if written < 19 || written > 25 {
			t.Errorf("%d snapshots in ten retentions with %d processes replaced, want about 20", written, replaced)
		}
	}
}

// Information from a peer delays the next write no longer than a snapshot written
// just now.
func TestScheduleBoundsWhatItIsTold(t *testing.T) {
	c := NewSnapshotSchedule(48*time.Hour, 0, 0)
	due := c.NextWrite()
	c.ObservePeer(0, time.Hour)
	c.ObservePeer(-time.Hour, time.Hour)
	if c.NextWrite() != due {
		t.Errorf("a peer without a recent snapshot delayed the next one to %v", c.NextWrite())
	}
	c.ObservePeer(1000*time.Hour, time.Hour)
	if want := 25 * time.Hour; c.NextWrite() != want || c.FreshFor(2*time.Hour) != want-2*time.Hour {
		t.Errorf("due at %v with %v left, want %v", c.NextWrite(), c.FreshFor(2*time.Hour), want)
	}
}
