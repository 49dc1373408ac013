package attempt

import (
	"time"

	"skylarklead/internal/protocol"
)

// decide answers one sending, or makes it wait.
func (o *Once) decide(k *keyState, w waiter, now time.Duration) {
	taken := k.winner.offset != 0 || k.claim != claimIdle && len(k.waiters) > 0
	ranHere := o.isMine(k) && (k.mine == mineRunning || k.mine == mineDone)
	switch {
	case !o.caughtUp && !ranHere:
		k.waiters = append(k.waiters, w)
	case taken && k.fingerprint != w.Fingerprint:
		o.answer(w.Attempt, protocol.NotRun, protocol.CodeKeyConflict, "the idempotency key was used with another request", 0)
	case k.winner.offset == 0:
		o.want(k, w)
	case o.isMine(k):
		o.decideMine(k, w, now)
	default:
		o.decideOther(k, w)
	}
}

// want queues a claim for a key that nobody has.
func (o *Once) want(k *keyState, w waiter) {
	if o.leaving {
		o.answer(w.Attempt, protocol.NotRun, protocol.CodeDraining, "the endpoint is leaving", o.params.RetryAfter)
		return
	}
	k.waiters = append(k.waiters, w)
	k.fingerprint = w.Fingerprint
	k.dated = w.Age > 0
	k.born = w.since - w.Age
	if k.claim == claimIdle {
		k.claim = claimQueued
		o.outbox.claims = append(o.outbox.claims, k)
	}
}

func (o *Once) decideMine(k *keyState, w waiter, now time.Duration) {
	switch k.mine {
	case mineNotRun:
		if o.leaving {
			o.answer(w.Attempt, protocol.NotRun, protocol.CodeDraining, "the endpoint is leaving", o.params.RetryAfter)
			return
		}
		k.mine, k.attempt = mineRunning, w.Attempt
		o.out = append(o.out, Execute{Attempt: w.Attempt, Key: k.key})
	case mineRunning:
		o.out = append(o.out, Attach{Attempt: w.Attempt, To: k.attempt})
	case mineDone:
		if k.result != nil {
			o.out = append(o.out, Replay{Attempt: w.Attempt, Result: k.result})
			return
		}
		o.answerDone(w.Attempt)
	case mineReleasing:
		k.waiters = append(k.waiters, w)
	default:
		o.answer(w.Attempt, protocol.Unknown, protocol.CodeUnknownOutcome, "the request may have run", 0)
	}
}

// decideOther answers for a key that another process has claimed: only that
// process knows more, and only in the epoch that claimed it.
func (o *Once) decideOther(k *keyState, w waiter) {
	p := o.peers[k.winner.endpoint]
	gone := k.winner.endpoint == o.self || p != nil && p.past[k.winner.epoch]
	down := p != nil && p.down
	switch {
	case k.winner.done && (gone || down || w.Redirected):
		o.answerDone(w.Attempt)
	case gone:
		o.answer(w.Attempt, protocol.Unknown, protocol.CodeUnknownOutcome, "the process that claimed the request is gone", 0)
	case down || w.Redirected:
		o.answer(w.Attempt, protocol.Unknown, protocol.CodeUnknownOutcome, "the process that claimed the request can't be reached", o.params.RetryAfter)
	default:
		o.out = append(o.out, Answer{Attempt: w.Attempt, End: protocol.End{
			Attempt: w.Attempt, Outcome: protocol.Unknown, Message: "claimed by another endpoint",
			Redirect: &protocol.Target{Endpoint: k.winner.endpoint, Epoch: k.winner.epoch},
		}})
	}
}

func (o *Once) answerDone(a protocol.AttemptID) {
	o.answer(a, protocol.Done, protocol.CodeKeyConflict, "the request has run; its answer is not kept", 0)
}

func (o *Once) answer(a protocol.AttemptID, ran protocol.Outcome, code protocol.Code, message string, after time.Duration) {
	o.out = append(o.out, Answer{Attempt: a, End: protocol.End{
		Attempt: a, Outcome: ran, Code: code, Message: message, RetryAfterMs: after.Milliseconds(),
	}})
}

// redecide decides all that wait for a key.
func (o *Once) redecide(k *keyState, now time.Duration) {
	waiters := k.waiters
	k.waiters = nil
	for _, w := range waiters {
		o.decide(k, w, now)
	}
}
