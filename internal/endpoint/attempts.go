package endpoint

import (
	"context"
	"time"

	"skylarklead/internal/wire"
)

const (
	// resumeGrace is how long an attempt goes on without a session.
	resumeGrace = 10 * time.Second
	// replayTime is how long an ended attempt's chunks can still be resumed.
	replayTime = 30 * time.Second
	// outcomeTime is how long an attempt's outcome is remembered, far longer
	// than any entry waits for one. Forgotten sooner, an attempt that ran would
	// look unseen to a Resolve, which would answer a false not_run.
	outcomeTime = time.Hour
)

// phase is how far an attempt has come.
type phase int

// The phases. A fenced attempt was resolved before its Run arrived.
const (
	phaseFenced phase = iota
	phaseWaiting
	phaseRunning
	phaseEnded
)

// attempt is what the loop knows of one attempt.
type attempt struct {
	id      wire.AttemptID
	run     *wire.Run
	phase   phase
	outcome wire.Outcome
	// session is the one that the attempt was last run or resumed on, nil once
	// that is lost; lostAt is when.
	session   *wire.Session
	lostAt    time.Duration
	begunAt   time.Duration
	endedAt   time.Duration
	delivered bool
	stream    *stream
	stop      context.CancelCauseFunc // ends the back end's work
	stopPump  context.CancelFunc
}

// open reports whether a graceful stop has to wait for the attempt.
func (a *attempt) open() bool {
	return a.stream != nil && !(a.phase == phaseEnded && a.delivered)
}

// attemptTable has each attempt that this process has heard of, for a bounded
// time.
type attemptTable map[wire.AttemptID]*attempt

func newAttemptTable() attemptTable { return make(attemptTable) }

func (t attemptTable) inFlight() int {
	n := 0
	for _, a := range t {
		if a.open() {
			n++
		}
	}
	return n
}

// expireAttempts cancels attempts that nobody came back for, and forgets old
// ones: first their chunks, at last their outcomes.
func (e *Endpoint) expireAttempts() {
	now := e.now()
	for id, a := range e.attempts {
		switch {
		case a.phase == phaseFenced || a.stream == nil:
			if now-a.endedAt > outcomeTime {
				delete(e.attempts, id)
			}
		case a.session == nil && now-a.lostAt > resumeGrace:
			e.abandon(a)
		case a.phase == phaseEnded && now-a.endedAt > replayTime:
			a.release()
		}
	}
}

// abandon ends an attempt whose session has been gone for the grace. A call to a
// plain service is left to end by itself: cutting it would undo nothing, and its
// outcome can still be asked for.
func (e *Endpoint) abandon(a *attempt) {
	if a.phase == phaseEnded {
		a.release()
		return
	}
	if a.run.Call != nil && a.phase == phaseRunning {
		return
	}
	e.cancelAttempt(a, "nobody resumed it")
}

// release frees what an ended attempt holds, but for its outcome.
func (a *attempt) release() {
	a.stopPump()
	a.stream.drop()
	a.stream = nil
	a.run = nil
	a.session = nil
}
