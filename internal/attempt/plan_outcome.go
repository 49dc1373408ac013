package attempt

import (
	"time"

	"skylarklead/internal/protocol"
)

// ended takes the live attempt's end.
func (p *Plan) ended(e Ended, now time.Duration) []Action {
	if !p.isLive(e.End.Attempt) || !p.sent {
		return nil
	}
	p.noteSaturation(e.End.Code, now)
	switch e.End.Outcome {
	case protocol.Done:
		return p.finish(e.End, nil)
	case protocol.NotRun:
		if e.Epoch != p.target.Epoch {
			// Another epoch speaks for a process that was restarted: it can't know
			// what its predecessor handed on. Believing it would let a payment run
			// twice.
			return p.unknown(e.End, now)
		}
		return p.notRun(e.End, now)
	default:
		return p.unknown(e.End, now)
	}
}

// notRun: the executor that would have run the attempt knows that it didn't.
func (p *Plan) notRun(end *protocol.End, now time.Duration) []Action {
	p.sent = false
	if end.Redirect != nil {
		return p.redirect(end)
	}
	if final(end.Code) {
		return p.refuse(end.Code, end.Message, millis(end.RetryAfterMs))
	}
	return p.elsewhere(end.Code, end.Message, millis(end.RetryAfterMs), ExtraRetry, now)
}

// redirect follows an executor's word that another one should run the request,
// once: two that disagree must not send it to and fro.
func (p *Plan) redirect(end *protocol.End) []Action {
	if p.redirected {
		return p.refuse(protocol.CodeNoEndpoint, "redirected twice", p.params.RetryAfter)
	}
	return p.run(*end.Redirect, true)
}

// final reports whether another endpoint would refuse for the same reason. A
// request that the module has given up on is answered at once; it must not reach
// another engine.
func final(c protocol.Code) bool {
	switch c {
	case protocol.CodeOverloaded, protocol.CodeNoEndpoint, protocol.CodeNotRun, protocol.CodeDraining, protocol.CodeInternal, protocol.CodeNone:
		return false
	}
	return true
}

// unknown: the attempt ended without an answer and may have run.
func (p *Plan) unknown(end *protocol.End, now time.Duration) []Action {
	if end.Redirect != nil && !p.redirected {
		// The idempotency key is claimed by another executor, which may have run
		// it for an earlier sending. Only that one can say more.
		p.sent, p.tainted = false, true
		return p.run(*end.Redirect, true)
	}
	if end.EngineCrashed {
		p.crashed = append(p.crashed, p.target.Endpoint)
	}
	if len(p.crashed) >= p.params.MaxCrashes {
		p.tainted = true
		return p.refuse(protocol.CodeGivenUp, "the request crashed the engines that ran it", p.params.GivenUpRetryAfter)
	}
	claimsSay := p.spec.Keyed && end.Code == protocol.CodeUnknownOutcome
	if end.Code != protocol.CodeNone && final(end.Code) && (end.Code != protocol.CodeUnknownOutcome || claimsSay) {
		p.tainted = true
		return p.refuse(end.Code, end.Message, millis(end.RetryAfterMs))
	}
	return p.lostSaying(end.Message, millis(end.RetryAfterMs), now)
}

func (p *Plan) lost(now time.Duration) []Action {
	return p.lostSaying("the executor was lost while it may have run the request", 0, now)
}

// lostSaying: nothing more can be learnt of the live attempt, which may have run.
// A keyed request is sent again: another executor runs it if the lost one hadn't
// claimed the key, and else knows from the claims what can be known.
func (p *Plan) lostSaying(message string, retryAfter time.Duration, now time.Duration) []Action {
	p.tainted = true
	if !p.spec.Repeatable && !p.spec.Keyed {
		return p.refuse(protocol.CodeUnknownOutcome, message, retryAfter)
	}
	return p.elsewhere(protocol.CodeUnknownOutcome, message, retryAfter, ExtraRetry, now)
}

// sessionLost: only the same epoch of the executor can tell what became of the
// attempt. Before its Start the Run itself may have been lost, so it is resolved,
// which fences an attempt that never arrived; after it, it is resumed.
func (p *Plan) sessionLost(e SessionLost) []Action {
	if !p.isLive(e.Attempt) || !p.sent {
		return nil
	}
	p.tries = 1
	return p.reach(0)
}

func (p *Plan) reach(after time.Duration) []Action {
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
		return p.lost(now)
	}
	if e.Answer.Running || e.Answer.Outcome == protocol.Done {
		p.started = true
		p.ran = e.Answer.Outcome == protocol.Done
		return p.reach(0)
	}
	if e.Answer.Outcome == protocol.NotRun {
		p.sent = false
		return p.elsewhere(protocol.CodeNotRun, "the request did not reach its executor", 0, ExtraResend, now)
	}
	return p.lost(now)
}

func (p *Plan) resumeOpened(e ResumeOpened) {
	if p.phase == phaseResuming && e.Attempt == p.attempt {
		p.phase = phaseRunning
	}
}

// resumeFailed tries again for a while: a frozen process may thaw, and for a
// request that may not be repeated only its word avoids an unknown outcome.
func (p *Plan) resumeFailed(e ResumeFailed, now time.Duration) []Action {
	if e.Attempt != p.attempt || p.phase != phaseResuming && p.phase != phaseResolving {
		return nil
	}
	if e.EpochGone {
		return p.lost(now)
	}
	limit := p.params.ResolveTries
	if p.spec.Repeatable {
		limit = p.params.ResumeTries
	}
	if p.tries >= limit {
		return p.giveUpResuming(now)
	}
	after := p.wait(p.tries)
	p.tries++
	return p.reach(after)
}

// giveUpResuming leaves a repeatable attempt behind. It is cancelled, for its
// executor may be alive behind a cut link and would compute for nobody.
func (p *Plan) giveUpResuming(now time.Duration) []Action {
	if !p.spec.Repeatable {
		return p.lost(now)
	}
	cancel := Cancel{Attempt: p.attempt, Target: p.target}
	return append([]Action{cancel}, p.lost(now)...)
}
