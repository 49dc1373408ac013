package config

import "time"

const (
	// firstWriteDivisor: a process that has seen no new snapshot writes one at
	// 1/firstWriteDivisor of the retention after its start, plus its rank's delay.
	firstWriteDivisor = 48
	// rankDelayDivisor: the processes' writes are spread over 1/rankDelayDivisor of
	// the retention.
	rankDelayDivisor = 8
	// sampleDivisor: samples of the log's end are at least 1/sampleDivisor of the
	// retention apart, so sampleDivisor of them cover it.
	sampleDivisor = 64
)

// SnapshotSchedule decides when a process writes a snapshot: when the oldest record
// that a new reader needs may be half a retention old. It doesn't compare clocks: it
// counts from the last time at which this process knew that the record wasn't on the
// log yet. Records from before the start of the process have an unknown age, so its
// first snapshot is due soon. Otherwise a fleet whose processes all live for less
// than half a retention would never write one and would lose its configuration.
//
// The rank delays each process differently, so that usually one writes and the
// others see its snapshot. Duplicates are harmless. Times are monotonic, since the
// start of the process.
type SnapshotSchedule struct {
	retention time.Duration
	rankDelay time.Duration
	nextWrite time.Duration
	// freshUntil is the time until which the newest known snapshot is recent enough
	// for all processes, 0 if none is.
	freshUntil time.Duration
	// logEnds are the latest samples, oldest first.
	logEnds []logEndSample
}

// logEndSample records that at the time at the log ended at offset.
type logEndSample struct {
	offset uint64
	at     time.Duration
}

// NewSnapshotSchedule returns a schedule that begins at the time start. rank is from
// 0 to 1 and differs among the processes.
func NewSnapshotSchedule(retention, start time.Duration, rank float64) *SnapshotSchedule {
	rankDelay := time.Duration(rank * float64(retention/rankDelayDivisor))
	return &SnapshotSchedule{
		retention: retention,
		rankDelay: rankDelay,
		nextWrite: start + retention/firstWriteDivisor + rankDelay,
	}
}

// ObserveLogEnd records that at the time at the log ended at offset.
func (s *SnapshotSchedule) ObserveLogEnd(offset uint64, at time.Duration) {
	if n := len(s.logEnds); n > 0 && at-s.logEnds[n-1].at < s.retention/sampleDivisor {
		return
	}
	s.logEnds = append(s.logEnds, logEndSample{offset: offset, at: at})
	if len(s.logEnds) > sampleDivisor {
		s.logEnds = s.logEnds[1:]
	}
}

// ObserveSnapshot records that a complete snapshot as of the offset asOf is on the
// log. Its age is that of the first record after asOf, which a reader needs besides
// the snapshot: a process that was stopped in between may write a snapshot long
// after it took the state.
func (s *SnapshotSchedule) ObserveSnapshot(asOf uint64) {
	for i := len(s.logEnds) - 1; i >= 0; i-- {
		if sample := s.logEnds[i]; sample.offset <= asOf {
			s.extendFresh(sample.at + s.retention/2)
			return
		}
	}
}

// ObservePeer records that, according to a peer's FreshFor, the newest snapshot is
// recent enough for the duration freshFor from now, of which at most half a retention
// counts. A process that has just started can't tell the age of the snapshots that it
// finds; without its peers' information each new process would write one of its own.
func (s *SnapshotSchedule) ObservePeer(freshFor, now time.Duration) {
	if freshFor > 0 {
		s.extendFresh(now + min(freshFor, s.retention/2))
	}
}

// FreshFor returns for how long from now the newest known snapshot is recent enough,
// 0 if it isn't or none is known. It doesn't depend on the rank, so that processes
// can pass it on to each other.
func (s *SnapshotSchedule) FreshFor(now time.Duration) time.Duration { return max(0, s.freshUntil-now) }

func (s *SnapshotSchedule) extendFresh(until time.Duration) {
	s.freshUntil = max(s.freshUntil, until)
	s.nextWrite = max(s.nextWrite, s.freshUntil+s.rankDelay)
}

// RecordWrite records a write at the time at. It delays the next attempt by
// 1/sampleDivisor of the retention, in case the snapshot isn't seen on the log.
func (s *SnapshotSchedule) RecordWrite(at time.Duration) {
	s.nextWrite = max(s.nextWrite, at+s.retention/sampleDivisor)
}

// NextWrite returns the time of the next write.
func (s *SnapshotSchedule) NextWrite() time.Duration { return s.nextWrite }
