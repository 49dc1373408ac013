package config

import "time"

const (
	// firstSnapshotShare of the retention after its start, a process that has
	// seen no snapshot arrive takes it that one is due.
	firstSnapshotShare = 48
	// snapshotSpreadShare of the retention is what ranks are spread over.
	snapshotSpreadShare = 8
	// sampleShare of the retention is the distance of samples.
	sampleShare = 64
)

// SnapshotSchedule tells when a process is to write a snapshot: when the oldest
// record that a new reader needs may be half a retention old. It compares no
// clocks; it counts from when this process itself knew that the record wasn't on
// the log yet. What was there before its start has an unknown age, so a snapshot
// is then due soon: a fleet whose processes all live for less than half a
// retention would otherwise never write one, and lose its configuration.
//
// Ranks spread the processes out, so that usually one writes and the others see
// it. Doubles do no harm. Times are monotonic, since the process's start.
type SnapshotSchedule struct {
	retention time.Duration
	spread    time.Duration
	due       time.Duration
	// covered is until when the newest snapshot that is known of is young enough
	// for everyone, 0 for none.
	covered time.Duration
	samples []sample
}

// sample says that the log ended at offset at the time at.
type sample struct {
	offset uint64
	at     time.Duration
}

// NewSnapshotSchedule starts at the time start; rank is 0 to 1 and differs among
// the processes.
func NewSnapshotSchedule(retention, start time.Duration, rank float64) *SnapshotSchedule {
	spread := time.Duration(rank * float64(retention/snapshotSpreadShare))
	return &SnapshotSchedule{
		retention: retention,
		spread:    spread,
		due:       start + retention/firstSnapshotShare + spread,
	}
}

// ObserveLogEnd notes that the log ended at offset at the time at.
func (c *SnapshotSchedule) ObserveLogEnd(offset uint64, at time.Duration) {
	if n := len(c.samples); n > 0 && at-c.samples[n-1].at < c.retention/sampleShare {
		return
	}
	c.samples = append(c.samples, sample{offset: offset, at: at})
	if len(c.samples) > sampleShare {
		c.samples = c.samples[1:]
	}
}

// ObserveSnapshot notes a whole snapshot on the log. It counts by the age of the first
// record after AsOf, which a reader needs beside it: a snapshot may be written
// long after its state was taken, by a process that was stopped between.
func (c *SnapshotSchedule) ObserveSnapshot(asOf uint64) {
	for i := len(c.samples) - 1; i >= 0; i-- {
		if s := c.samples[i]; s.offset <= asOf {
			c.cover(s.at + c.retention/2)
			return
		}
	}
}

// ObservePeer takes a peer's word that the newest snapshot is young enough for another
// left. A process that was just started can't tell the age of what it finds, and
// each would write a snapshot of its own although its peers have met one.
func (c *SnapshotSchedule) ObservePeer(left, now time.Duration) {
	if left > 0 {
		c.cover(now + min(left, c.retention/2))
	}
}

// FreshFor returns for how long from now the newest snapshot known of is young enough,
// 0 if it isn't or none is known. Ranks are no part of it, so it can be passed on
// from process to process.
func (c *SnapshotSchedule) FreshFor(now time.Duration) time.Duration { return max(0, c.covered-now) }

func (c *SnapshotSchedule) cover(until time.Duration) {
	c.covered = max(c.covered, until)
	c.due = max(c.due, c.covered+c.spread)
}

// RecordWrite puts the next try off, in case the snapshot isn't seen on the log.
func (c *SnapshotSchedule) RecordWrite(at time.Duration) {
	c.due = max(c.due, at+c.retention/sampleShare)
}

// NextWrite returns when to write.
func (c *SnapshotSchedule) NextWrite() time.Duration { return c.due }
