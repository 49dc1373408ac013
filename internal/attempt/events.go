package attempt

import (
	"time"

	"skylarklead/internal/protocol"
)

// Event is an input of a Plan: something that happened to a request at its entry.
type Event interface{ event() }

// DecisionReceived carries an owner's placement decision, or one that the entry made
// itself because there was no owner to ask.
type DecisionReceived struct{ Decision *protocol.Decision }

// AskFailed reports that no owner answered.
type AskFailed struct{}

// NotSent reports that no session to the executor could be opened: nothing of the
// attempt was sent, and nothing will be.
type NotSent struct{ Attempt protocol.AttemptID }

// Sent reports that the attempt's Run is about to be written to a session with this
// process epoch. It is reported before the write, so that the answer can't arrive
// first. If the write fails, SessionLost follows, because the executor may have
// received the Run.
type Sent struct {
	Attempt protocol.AttemptID
	Epoch   protocol.Epoch
}

// Started reports that the executor's Start was received.
type Started struct{ Attempt protocol.AttemptID }

// ChunkDelivered reports that the caller has every chunk below Next.
type ChunkDelivered struct{ Next uint64 }

// Ended reports that the receiver accepted the attempt's End, sent by a process of
// this epoch.
type Ended struct {
	Epoch protocol.Epoch
	End   *protocol.End
}

// SessionLost reports that the session with the attempt's executor ended after Sent,
// or that the receiver has to resume.
type SessionLost struct{ Attempt protocol.AttemptID }

// Resolved carries the executor's answer to Resolve.
type Resolved struct {
	Epoch  protocol.Epoch
	Answer *protocol.Resolved
}

// ResumeOpened reports that the Resume was sent on a new session.
type ResumeOpened struct{ Attempt protocol.AttemptID }

// ResumeFailed reports that the executor could not be reached to resume or resolve.
// With EpochGone, a process of a new epoch answered in its place.
type ResumeFailed struct {
	Attempt   protocol.AttemptID
	EpochGone bool
}

// CallerGone reports that the caller disconnected.
type CallerGone struct{}

// CallerBack reports that the caller reconnected within the grace period.
type CallerBack struct{}

// GraceExpired reports that the caller did not reconnect within the grace period.
type GraceExpired struct{}

// DeadlinePassed reports that the caller's deadline has passed.
type DeadlinePassed struct{}

// EntryEnds reports that the entry's process is about to end.
type EntryEnds struct{}

func (DecisionReceived) event() {}
func (AskFailed) event()        {}
func (NotSent) event()          {}
func (Sent) event()             {}
func (Started) event()          {}
func (ChunkDelivered) event()   {}
func (Ended) event()            {}
func (SessionLost) event()      {}
func (Resolved) event()         {}
func (ResumeOpened) event()     {}
func (ResumeFailed) event()     {}
func (CallerGone) event()       {}
func (CallerBack) event()       {}
func (GraceExpired) event()     {}
func (DeadlinePassed) event()   {}
func (EntryEnds) event()        {}

// Action is an instruction from a Plan to its entry. Actions are carried out in order.
type Action interface{ action() }

// Ask asks the owners where to run the request, after a delay.
type Ask struct {
	Exclude []string
	Crashed []string
	After   time.Duration
}

// Run sends a new attempt to Target. If FirstSeq is above 0, the chunks that the
// caller already has are sent along as Partial.
type Run struct {
	Attempt    protocol.AttemptID
	Target     protocol.Target
	FirstSeq   uint64
	Suspect    bool
	Redirected bool
}

// Resume asks the executor to continue the attempt from chunk Seq, after a delay.
type Resume struct {
	Attempt protocol.AttemptID
	Target  protocol.Target
	Seq     uint64
	After   time.Duration
}

// Resolve asks the executor for the outcome of the attempt, after a delay.
type Resolve struct {
	Attempt protocol.AttemptID
	Target  protocol.Target
	After   time.Duration
}

// Cancel tells the executor that the attempt's answer is no longer needed.
type Cancel struct {
	Attempt protocol.AttemptID
	Target  protocol.Target
}

// Finish is the final answer to the caller: Refusal, or the attempt's own end if
// Refusal is nil. It is delivered at once, whatever the caller's deadline.
type Finish struct {
	End     *protocol.End
	Refusal *protocol.Refusal
}

func (Ask) action()     {}
func (Run) action()     {}
func (Resume) action()  {}
func (Resolve) action() {}
func (Cancel) action()  {}
func (Finish) action()  {}
