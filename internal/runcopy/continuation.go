package runcopy

import (
	"time"

	"skylarklead/internal/fleet"
)

const (
	// roomMargin is the part of a target's memory that must be free beyond a copy's size, since less may
	// have been free before its report.
	roomMargin = 0.5
	// maxSilence is the longest time from the last event to the break after which a source that is gone
	// is taken to have stopped in the middle of the run. After a longer one the path to it may have been
	// lost before: the run may be complete, and the target has dropped the copy.
	maxSilence = 300 * time.Millisecond
)

// SourceState is what is known of the replica whose stream broke off.
type SourceState uint8

const (
	// SourceUnknown: not found out in time.
	SourceUnknown SourceState = iota
	// SourceAlive: the same incarnation answers; it may still work on the run.
	SourceAlive
	// SourceGone: nothing listens at its address, or another incarnation does.
	SourceGone
	// SourceLost: neither the run's connection nor several new ones got an answer. It may still work on
	// the run, or have ended it.
	SourceLost
	// SourceUnchecked: the run doesn't go on whatever became of the source.
	SourceUnchecked
)

var sourceStateNames = [...]string{"unknown", "alive", "gone", "lost", "unchecked"}

// String returns the name of the state in logs.
func (s SourceState) String() string { return sourceStateNames[s] }

// Situation is what a decision to continue depends on, at the time of the decision.
type Situation struct {
	Source SourceState
	// Events is how many events of the run came from the source, Worked the time from the first to the
	// last of them, for which the source was surely at work, Silence the time from the last one to the
	// break, and SinceEvent that until now.
	Events                      int
	Worked, Silence, SinceEvent time.Duration
	// Transfer is how the source sends copies and how long the target keeps them.
	Transfer fleet.RunTransfer
	// Suspect is set if the request is suspected of crashing replicas.
	Suspect bool
	// Version is the version of the weights that the run began on. SourceChanged is set if the
	// source was about to load other ones, or has, while it ran.
	Version       uint64
	SourceChanged bool
	// CopyTokens is the memory that the copy takes at the run's end.
	CopyTokens int
	// TargetReport is the target's answer to a query after the break, nil without one.
	TargetReport *fleet.Report
	// TargetUsable is set if the replica with the backup is the same incarnation, reachable and not
	// leaving. TargetVersion is the version that it serves, and TargetOrdered is set while it is
	// about to load another one.
	TargetUsable  bool
	TargetVersion uint64
	TargetOrdered bool
	// TargetDoubtful is set if the target has failed requests, or couldn't be reached, since the run
	// began, or has recent faults: it may have lost the copy, and may run what it should refuse.
	TargetDoubtful bool
	// SoftwareDiffers is set unless both replicas are known to run the same software: what two versions
	// write doesn't fit into one stream.
	SoftwareDiffers bool
	// PatienceLeft is the time until the caller stops waiting for the next event.
	PatienceLeft time.Duration
}

// StopReason says why a run isn't continued from its backup; "" if it is.
type StopReason string

// Values of StopReason. The target says StopNoCopy if it has no copy of the run or other weights;
// StopTargetFailed is any other failure there.
const (
	StopSuspect        StopReason = "suspect"
	StopNoEvents       StopReason = "no_events"
	StopNoCopyYet      StopReason = "no_copy_yet"
	StopCopyExpired    StopReason = "copy_expired"
	StopSourceAlive    StopReason = "source_alive"
	StopSourceUnknown  StopReason = "source_unknown"
	StopSourceSilent   StopReason = "source_silent"
	StopSourceChanged  StopReason = "source_weights_changed"
	StopTargetChanged  StopReason = "target_weights_changed"
	StopSoftware       StopReason = "other_software"
	StopTargetUnusable StopReason = "target_unusable"
	StopTargetDoubtful StopReason = "target_doubtful"
	StopTargetSilent   StopReason = "target_unanswered"
	StopTargetFull     StopReason = "target_full"
	StopTooLate        StopReason = "too_late"
	StopNoCopy         StopReason = "no_copy"
	StopTargetFailed   StopReason = "target_failed"
)

// Preclude says why a run doesn't go on whatever its source and the target report, "" if that decides.
func Preclude(s *Situation) StopReason {
	switch {
	case s.Suspect:
		return StopSuspect
	case s.Events == 0:
		return StopNoEvents
	case s.Worked < MinWork(s.Transfer.CopyInterval):
		return StopNoCopyYet
	case s.copyExpired():
		return StopCopyExpired
	case s.Silence > maxSilence:
		return StopSourceSilent
	}
	return ""
}

// Decide says whether a run that broke off goes on from its backup.
//
// A source that is alive, or that can't be reached, may still work on the run: closing the connection tells
// it to stop, but not every replica does, and the run must not go on twice. A copy made on other weights would be read by
// weights that it doesn't fit. Without a copy only the target's refusal would keep the run from beginning
// anew there, and a faulty target may run it instead. So the source must have been at work for as long
// as a copy takes to be made, and the target must have had room for it and still keep it, which it
// doesn't once the run has ended well. A request that crashes replicas would crash the target too.
func Decide(s *Situation) StopReason {
	if reason := Preclude(s); reason != "" {
		return reason
	}
	switch {
	case s.Source == SourceAlive:
		return StopSourceAlive
	case s.Source == SourceUnknown, s.Source == SourceUnchecked:
		return StopSourceUnknown
	case s.Source == SourceLost:
		return StopSourceSilent
	case s.SourceChanged:
		return StopSourceChanged
	case !s.TargetUsable:
		return StopTargetUnusable
	case s.TargetDoubtful:
		return StopTargetDoubtful
	case s.TargetReport == nil:
		return StopTargetSilent
	case !s.targetHadRoom():
		return StopTargetFull
	case s.SoftwareDiffers:
		return StopSoftware
	case s.TargetVersion != s.Version || s.TargetOrdered:
		return StopTargetChanged
	case s.PatienceLeft <= 0:
		return StopTooLate
	}
	return ""
}

// copyExpired reports whether the target may have dropped the copy: its last part may be older than the
// last event by an interval.
func (s *Situation) copyExpired() bool {
	t := &s.Transfer
	return t.CopyLifetime > 0 && s.SinceEvent+t.CopyInterval >= t.CopyLifetime
}

// targetHadRoom reports whether the target surely had room for the copy when parts of it were sent. Its
// report tells the free memory of a moment ago, with the copy in use if there is one.
func (s *Situation) targetHadRoom() bool {
	r := s.TargetReport
	free := float64(r.MemoryTokens - r.UsedTokens)
	return free >= float64(s.CopyTokens)+roomMargin*float64(r.MemoryTokens)
}
