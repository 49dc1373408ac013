package endpoint

import (
	"cmp"
	"context"
	"slices"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/cachemap"
	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
)

const (
	// replayTime is how long an ended attempt's pieces can still be resumed.
	replayTime = 30 * time.Second
	// maxReplayBytes bounds the pieces of ended attempts that are kept for that
	// long. Large answers of a plain service would otherwise fill memory at a few
	// dozen calls a second.
	maxReplayBytes = 32 << 20
	// outcomeTime is how long an attempt's outcome is remembered, far longer
	// than any entry waits for one. Forgotten sooner, an attempt that ran would
	// look unseen to a Resolve, which would answer a false not_run.
	outcomeTime = time.Hour
)

// phase is how far an execution has come.
type phase int

// The phases. A held attempt has its place but waits for others to leave the
// engine; a following one gets the answer of another with its idempotency key.
const (
	phaseWaiting phase = iota
	phaseHeld
	phaseRunning
	phaseFollowing
	phaseEnded
)

// execution is an attempt that runs here, or did until its stream's pieces are
// dropped.
type execution struct {
	id    protocol.AttemptID
	run   *protocol.Run
	phase phase
	// session is the one that the attempt was last run or resumed on, nil once
	// that is lost.
	session   *wire.Session
	endedAt   time.Duration
	outcome   protocol.Outcome
	delivered bool
	// claimed is set while the attempt runs under an idempotency key; followers
	// get its answer too.
	claimed   bool
	followers []*execution
	// adoptedFrom is the epoch that the attempt began in, if not in this one.
	adoptedFrom protocol.Epoch
	stream      *stream
	stop        context.CancelCauseFunc // ends the back end's work
	stopPump    context.CancelFunc

	// messages is the whole prompt, chain its blocks; predicted is how many of
	// its tokens the engine was believed to hold when the attempt arrived, mark
	// the picture's moment when it was handed to the engine.
	messages  []prefix.Message
	chain     []prefix.Hash
	predicted int
	mark      cachemap.Revision
	startedAt time.Duration
	// incarnation is the engine's when the attempt was handed to it.
	incarnation string
	// crashes is how many crashes were counted when it was handed over.
	crashes int
	// enginePriority is by the organisation's use; the caller's own priority
	// only orders its organisation's queue.
	enginePriority int
}

// open reports whether a graceful stop has to wait for the execution.
func (a *execution) open() bool {
	return a.phase != phaseEnded || !a.delivered
}

// repeatable reports whether the attempt's entry can run it elsewhere: not a call
// to a plain service, one under an idempotency key, or a stream that an earlier
// epoch began.
func (a *execution) repeatable() bool {
	return a.run.Call == nil && len(a.run.Key) == 0 && a.adoptedFrom == 0
}

// executionTable has what runs here or can still be resumed.
type executionTable map[protocol.AttemptID]*execution

func (t executionTable) inFlight() int {
	n := 0
	for _, a := range t {
		if a.open() {
			n++
		}
	}
	return n
}

// expireExecutions gives up streams that nobody reads or came back for, and
// drops the pieces of old ones.
func (e *Endpoint) expireExecutions() {
	now := e.now()
	e.trimReplays()
	for _, a := range e.executions {
		cut := a.stream.cut()
		switch {
		case cut != attempt.AbortNone:
			e.abandon(a, cut)
		case a.phase == phaseEnded && now-a.endedAt > replayTime:
			e.free(a)
		}
	}
}

// trimReplays drops the pieces of the oldest delivered attempts until the rest
// is within maxReplayBytes.
func (e *Endpoint) trimReplays() {
	var delivered []*execution
	kept := 0
	for _, a := range e.executions {
		if a.phase == phaseEnded {
			kept += a.stream.bytes()
			if a.delivered {
				delivered = append(delivered, a)
			}
		}
	}
	if kept <= maxReplayBytes {
		return
	}
	slices.SortFunc(delivered, func(a, b *execution) int { return cmp.Compare(a.endedAt, b.endedAt) })
	for _, a := range delivered {
		if kept <= maxReplayBytes {
			return
		}
		kept -= a.stream.bytes()
		e.free(a)
	}
}

// abandon gives a stream up. A call to a plain service that nobody reads is left
// to end by itself: cutting it would undo nothing, and its outcome can still be
// asked for.
func (e *Endpoint) abandon(a *execution, cut attempt.AbortReason) {
	switch {
	case a.phase == phaseEnded:
		e.free(a)
	case a.run.Call != nil && a.phase == phaseRunning && cut == attempt.AbortAbandoned:
	default:
		e.cancelExecution(a, string(cut))
	}
}

// onDelivered notes that an attempt's End was written to a session. One that has
// not run has no pieces to resume, and is dropped at once: past saturation there
// are many refusals a second, which would each be kept for replayTime.
func (e *Endpoint) onDelivered(a *execution, s *wire.Session) {
	if a.session != s {
		return // resumed on another one meanwhile
	}
	a.delivered = true
	e.drain.lastEnd = e.now()
	if a.phase == phaseEnded && a.outcome == protocol.NotRun {
		e.free(a)
	}
}

// free forgets an ended execution; the registry keeps its outcome.
func (e *Endpoint) free(a *execution) {
	a.stopPump()
	if a.session != nil {
		a.stream.detach(a.session)
	}
	delete(e.executions, a.id)
}
