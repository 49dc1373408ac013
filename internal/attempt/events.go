package attempt

import (
	"time"

	"skylarklead/internal/protocol"
)

// Event is what happens to a request at its entry.
type Event interface{ event() }

// DecisionReceived brings an owner's decision, or one that the entry made by itself with no
// owner to ask.
type DecisionReceived struct{ Decision *protocol.Decision }

// AskFailed: no owner answered.
type AskFailed struct{}

// NotSent: no session to the executor could be opened, so that nothing of the
// attempt was sent and nothing will be.
type NotSent struct{ Attempt protocol.AttemptID }

// Sent: the attempt's Run is about to be written to a session with this process
// epoch. It is reported before the write, so that the answer can't overtake it;
// a write that fails is then a SessionLost, for the executor may have the Run.
type Sent struct {
	Attempt protocol.AttemptID
	Epoch   protocol.Epoch
}

// Started: the executor's Start came.
type Started struct{ Attempt protocol.AttemptID }

// ChunkDelivered: the caller has every piece below Next.
type ChunkDelivered struct{ Next uint64 }

// Ended: the receiver took the attempt's End, sent by a process of this epoch.
type Ended struct {
	Epoch protocol.Epoch
	End   *protocol.End
}

// SessionLost: the session with the attempt's executor ended after Sent, or its
// receiver must resume.
type SessionLost struct{ Attempt protocol.AttemptID }

// Resolved brings the executor's answer to Resolve.
type Resolved struct {
	Epoch  protocol.Epoch
	Answer *protocol.Resolved
}

// ResumeOpened: the Resume was sent on a new session.
type ResumeOpened struct{ Attempt protocol.AttemptID }

// ResumeFailed: the executor couldn't be reached to resume or resolve, or, with
// EpochGone, a new epoch answers in its place.
type ResumeFailed struct {
	Attempt   protocol.AttemptID
	EpochGone bool
}

// CallerGone: the caller hung up; CallerBack: it came back in time; GraceOver:
// it didn't.
type CallerGone struct{}

// CallerBack is told in CallerGone.
type CallerBack struct{}

// GraceExpired is told in CallerGone.
type GraceExpired struct{}

// DeadlinePassed: the caller waits no longer.
type DeadlinePassed struct{}

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

// Action is what a Plan asks its entry to do, in order.
type Action interface{ action() }

// Ask asks the owners where to run, after a wait.
type Ask struct {
	Exclude []string
	Crashed []string
	After   time.Duration
}

// Run sends a new attempt to Target. With FirstSeq above 0 it carries what the
// caller already has as Partial.
type Run struct {
	Attempt    protocol.AttemptID
	Target     protocol.Target
	FirstSeq   uint64
	Suspect    bool
	Redirected bool
}

// Resume asks the executor for the attempt again from Seq, after a wait.
type Resume struct {
	Attempt protocol.AttemptID
	Target  protocol.Target
	Seq     uint64
	After   time.Duration
}

// Resolve asks the executor what became of the attempt, after a wait.
type Resolve struct {
	Attempt protocol.AttemptID
	Target  protocol.Target
	After   time.Duration
}

// Cancel tells the executor that nobody waits for the attempt.
type Cancel struct {
	Attempt protocol.AttemptID
	Target  protocol.Target
}

// Finish is the caller's final answer: Refusal, or the attempt's own end if nil.
// It is given at once, whatever the caller's deadline.
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
