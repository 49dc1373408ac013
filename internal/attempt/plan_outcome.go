package attempt

import (
	"time"

	"skylarklead/internal/protocol"
)

// ended handles the End of the live attempt.
func (p *Plan) ended(e Ended, now time.Duration) []Action {
	if !p.isLive(e.End.Attempt) || !p.sent {
		return nil
	}
	p.recordSaturation(e.End.Code, now)
	switch e.End.Outcome {
	case protocol.Done:
		return p.finish(e.End, nil)
	case protocol.NotRun:
		if e.Epoch != p.target.Epoch {
			// The End comes from another epoch, that is, from a restarted process. It
			// can't know what its predecessor sent to the back end; trusting it could
			// run a payment twice.
			return p.unknown(e.End, now)
		}
		return p.notRun(e.End, now)
	default:
		return p.unknown(e.End, now)
	}
}

// notRun handles a not_run from the process that would have run the attempt.
func (p *Plan) notRun(end *protocol.End, now time.Duration) []Action {
	p.sent = false
	if end.Redirect != nil {
		return p.redirect(end)
	}
	if isFinal(end.Code) {
		return p.refuse(end.Code, end.Message, millis(end.RetryAfterMs))
	}
	return p.retryElsewhere(end.Code, end.Message, millis(end.RetryAfterMs), ExtraRetry, now)
}

// redirect follows an executor's redirect, once: two executors that disagree must not
// send the request back and forth.
func (p *Plan) redirect(end *protocol.End) []Action {
	if p.redirected {
		return p.refuse(protocol.CodeNoEndpoint, "redirected twice", p.params.RetryAfter)
	}
	return p.run(*end.Redirect, true)
}

// isFinal reports whether another endpoint would refuse for the same reason. A request
// that was given up is refused at once; it must not reach another engine.
func isFinal(c protocol.Code) bool {
	switch c {
	case protocol.CodeOverloaded, protocol.CodeNoEndpoint, protocol.CodeNotRun, protocol.CodeDraining, protocol.CodeInternal, protocol.CodeNone:
		return false
	}
	return true
}

// unknown handles an attempt that ended without an answer and may have run.
func (p *Plan) unknown(end *protocol.End, now time.Duration) []Action {
	if end.Redirect != nil && !p.redirected {
		// The idempotency key is claimed by another executor, which may have run it
		// for an earlier attempt. Only that executor can know more.
		p.sent, p.mayHaveRun = false, true
		return p.run(*end.Redirect, true)
	}
	if end.EngineCrashed {
		p.crashedEndpoints = append(p.crashedEndpoints, p.target.Endpoint)
	}
	if len(p.crashedEndpoints) >= p.params.MaxCrashes {
		p.mayHaveRun = true
		return p.refuse(protocol.CodeGivenUp, "the request crashed the engines that ran it", p.params.GivenUpRetryAfter)
	}
	claimsDecide := p.spec.Keyed && end.Code == protocol.CodeUnknownOutcome
	if end.Code != protocol.CodeNone && isFinal(end.Code) && (end.Code != protocol.CodeUnknownOutcome || claimsDecide) {
		p.mayHaveRun = true
		return p.refuse(end.Code, end.Message, millis(end.RetryAfterMs))
	}
	return p.outcomeLost(end.Message, millis(end.RetryAfterMs), now)
}

func (p *Plan) executorLost(now time.Duration) []Action {
	return p.outcomeLost("the connection to the executor was lost; it may have run the request", 0, now)
}

// outcomeLost is called when nothing more can be learned about the live attempt, which
// may have run. A keyed request is sent again: another executor runs it if the lost
// one had not claimed the key, and otherwise reports what the claims say.
func (p *Plan) outcomeLost(message string, retryAfter time.Duration, now time.Duration) []Action {
	p.mayHaveRun = true
	if !p.spec.Repeatable && !p.spec.Keyed {
		return p.refuse(protocol.CodeUnknownOutcome, message, retryAfter)
	}
	return p.retryElsewhere(protocol.CodeUnknownOutcome, message, retryAfter, ExtraRetry, now)
}

// sessionLost handles a lost session. Only the same epoch of the executor can tell
// what became of the attempt. Before Start was received the Run itself may have been
// lost, so the attempt is resolved, which fences it if it never arrived. After Start
// it is resumed.
func (p *Plan) sessionLost(e SessionLost) []Action {
	if !p.isLive(e.Attempt) || !p.sent {
		return nil
	}
	p.tries = 1
	return p.reconnect(0)
}

func (p *Plan) reconnect(after time.Duration) []Action {
	if p.started {
		p.phase = phaseResuming
		return []Action{Resume{Attempt: p.attempt, Target: p.target, Seq: p.next, After: after}}
	}
	p.phase = phaseResolving
	return []Action{Resolve{Attempt: p.attempt, Target: p.target, After: after}}
}

func (p *Plan) resolved(e Resolved, now time.Duration) []Action {
	if p.phase != phaseResolving || e.Answer.Attempt != p.attempt {
		return nil
	}
	if e.Epoch != p.target.Epoch {
		return p.executorLost(now)
	}
	if e.Answer.Running || e.Answer.Outcome == protocol.Done {
		p.started = true
		p.confirmedDone = e.Answer.Outcome == protocol.Done
		return p.reconnect(0)
	}
	if e.Answer.Outcome == protocol.NotRun {
		p.sent = false
		return p.retryElsewhere(protocol.CodeNotRun, "the request did not reach its executor", 0, ExtraResend, now)
	}
	return p.executorLost(now)
}

func (p *Plan) resumeOpened(e ResumeOpened) {
	if p.phase == phaseResuming && e.Attempt == p.attempt {
		p.phase = phaseRunning
	}
}

// resumeFailed tries again for a while: a frozen process may continue, and for a
// request that may not be repeated only that process can prevent an unknown outcome.
func (p *Plan) resumeFailed(e ResumeFailed, now time.Duration) []Action {
	if e.Attempt != p.attempt || p.phase != phaseResuming && p.phase != phaseResolving {
		return nil
	}
	if e.EpochGone {
		return p.executorLost(now)
	}
	limit := p.params.ResolveTries
	if p.spec.Repeatable {
		limit = p.params.ResumeTries
	}
	if p.tries >= limit {
		return p.abandonExecutor(now)
	}
	after := p.backoff(p.tries)
	p.tries++
	return p.reconnect(after)
}

// abandonExecutor gives up on the live attempt's executor. A repeatable attempt is
// cancelled, because its executor may be alive behind a network partition and would go
// on computing an answer that nobody reads.
func (p *Plan) abandonExecutor(now time.Duration) []Action {
	if !p.spec.Repeatable {
		return p.executorLost(now)
	}
	cancel := Cancel{Attempt: p.attempt, Target: p.target}
	return append([]Action{cancel}, p.executorLost(now)...)
}
