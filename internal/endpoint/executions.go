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
	// replayRetention is how long the chunks of an ended attempt can be resumed.
	replayRetention = 30 * time.Second
	// maxReplayBytes bounds the chunks of ended attempts that are kept for that long.
	// Large answers of a plain service would otherwise fill memory at a few dozen
	// calls a second.
	maxReplayBytes = 32 << 20
	// canceledRetention is how long a canceled attempt waits for its End to be written: its
	// window may be closed for good.
	canceledRetention = 250 * time.Millisecond
	// outcomeRetention is how long an attempt's outcome is kept, far longer than any
	// entry waits for one. If it were dropped sooner, an attempt that ran would look
	// unseen to a Resolve, which would falsely answer not_run.
	outcomeRetention = time.Hour
)

// phase is how far an execution has come.
type phase int

// The phases. An admitted attempt has a slot but waits for others to leave the
// engine; a following one gets the answer of another with its idempotency key.
const (
	phaseWaiting phase = iota
	phaseAdmitted
	phaseRunning
	phaseFollowing
	phaseEnded
)

// execution is an attempt that runs here, or one that has ended and whose chunks are
// still kept.
type execution struct {
	id    protocol.AttemptID
	run   *protocol.Run
	phase phase
	// session is the one that the attempt was last run or resumed on, nil once that
	// is lost.
	session   *wire.Session
	endedAt   time.Duration
	outcome   protocol.Outcome
	delivered bool
	// canceled is set once its entry has given it up: nobody resumes it.
	canceled bool
	// claimed is set while the attempt runs under an idempotency key; followers get
	// its answer too.
	claimed   bool
	followers []*execution
	// adoptedFrom is the epoch that the attempt began in, 0 if it is this one.
	adoptedFrom protocol.Epoch
	stream      *stream
	stop        context.CancelCauseFunc // cancels the back end's work
	stopPump    context.CancelFunc

	// messages is the whole prompt and chain the hashes of its blocks.
	// predictedCached is how many of its tokens the engine was expected to hold when
	// the attempt arrived; revision is that of the cache view when it was sent to
	// the engine.
	messages        []prefix.Message
	chain           []prefix.Hash
	predictedCached int
	revision        cachemap.Revision
	startedAt       time.Duration
	// incarnation is the engine's when the attempt was sent to it.
	incarnation string
	// crashCount is engineWatch.crashCount when the attempt was sent to the engine.
	crashCount int
	// enginePriority depends on the organisation's use of the engine; the caller's
	// own priority only orders the queue of its organisation.
	enginePriority int
}

// inProgress reports whether a graceful stop has to wait for the execution.
func (a *execution) inProgress() bool {
	return a.phase != phaseEnded || !a.delivered
}

// repeatable reports whether the attempt's entry can run it elsewhere. That excludes
// calls to a plain service, attempts with an idempotency key, and streams that an
// earlier epoch began.
func (a *execution) repeatable() bool {
	return a.run.Call == nil && len(a.run.Key) == 0 && a.adoptedFrom == 0
}

// executionTable has what runs here or can still be resumed.
type executionTable map[protocol.AttemptID]*execution

func (t executionTable) inFlight() int {
	n := 0
	for _, a := range t {
		if a.inProgress() {
			n++
		}
	}
	return n
}

// expireExecutions aborts streams that nobody reads or resumes, and drops the chunks
// of old ones.
func (e *Endpoint) expireExecutions() {
	now := e.now()
	e.trimReplays()
	for _, a := range e.executions {
		reason := a.stream.abortReason()
		switch {
		case reason != attempt.AbortNone:
			e.abort(a, reason)
		case a.phase == phaseEnded && now-a.endedAt > a.retention():
			e.removeExecution(a)
		}
	}
}

// retention is how long the attempt's chunks are kept once it has ended.
func (a *execution) retention() time.Duration {
	if a.canceled {
		return canceledRetention
	}
	return replayRetention
}

// trimReplays drops the chunks of the oldest delivered attempts until the rest is
// within maxReplayBytes.
func (e *Endpoint) trimReplays() {
	var delivered []*execution
	retained := 0
	for _, a := range e.executions {
		if a.phase == phaseEnded {
			retained += a.stream.retainedBytes()
			if a.delivered {
				delivered = append(delivered, a)
			}
		}
	}
	if retained <= maxReplayBytes {
		return
	}
	slices.SortFunc(delivered, func(a, b *execution) int { return cmp.Compare(a.endedAt, b.endedAt) })
	for _, a := range delivered {
		if retained <= maxReplayBytes {
			return
		}
		retained -= a.stream.retainedBytes()
		e.removeExecution(a)
	}
}

// abort ends a stream. A call to a plain service that nobody reads is left to end by
// itself: canceling it would undo nothing, and its outcome can still be asked for.
func (e *Endpoint) abort(a *execution, reason attempt.AbortReason) {
	switch {
	case a.phase == phaseEnded:
		e.removeExecution(a)
	case a.run.Call != nil && a.phase == phaseRunning && reason == attempt.AbortAbandoned:
	default:
		e.cancelExecution(a, string(reason))
	}
}

// onDelivered handles that an attempt's End was written to a session. An attempt that
// has not run has no chunks to resume and is dropped at once: at saturation there are
// many refusals a second, each of which would be kept for replayRetention.
func (e *Endpoint) onDelivered(a *execution, s *wire.Session) {
	if a.session != s {
		return // resumed on another one meanwhile
	}
	a.delivered = true
	e.drain.lastEnd = e.now()
	if a.phase == phaseEnded && (a.outcome == protocol.NotRun || a.canceled) {
		e.removeExecution(a)
	}
}

// removeExecution forgets an ended execution; the registry keeps its outcome.
func (e *Endpoint) removeExecution(a *execution) {
	a.stopPump()
	if a.session != nil {
		a.stream.detach(a.session)
	}
	delete(e.executions, a.id)
}
