package attempt

import (
	"time"

	"skylarklead/internal/protocol"
)

// decide answers one Run, or makes it wait.
func (o *Once) decide(k *keyState, w waiter, now time.Duration) {
	claimed := k.winner.offset != 0 || k.claim != claimIdle && len(k.waiters) > 0
	ranHere := o.isMine(k) && (k.local == localRunning || k.local == localDone)
	switch {
	case !o.caughtUp && !ranHere:
		k.waiters = append(k.waiters, w)
	case claimed && k.fingerprint != w.Fingerprint:
		o.answer(w.Attempt, protocol.NotRun, protocol.CodeKeyConflict, "the idempotency key was used with another request", 0)
	case k.winner.offset == 0:
		o.queueClaim(k, w)
	case o.isMine(k):
		o.decideOwn(k, w, now)
	default:
		o.decideOther(k, w)
	}
}

// queueClaim queues a claim for a key that no process has claimed.
func (o *Once) queueClaim(k *keyState, w waiter) {
	if o.draining {
		o.answer(w.Attempt, protocol.NotRun, protocol.CodeDraining, "the endpoint is draining", o.params.RetryAfter)
		return
	}
	k.waiters = append(k.waiters, w)
	k.fingerprint = w.Fingerprint
	k.dated = w.Age > 0
	k.createdAt = w.since - w.Age
	if k.claim == claimIdle {
		k.claim = claimQueued
		o.outbox.claims = append(o.outbox.claims, k)
	}
}

func (o *Once) decideOwn(k *keyState, w waiter, now time.Duration) {
	switch k.local {
	case localNotRun:
		if o.draining {
			o.answer(w.Attempt, protocol.NotRun, protocol.CodeDraining, "the endpoint is draining", o.params.RetryAfter)
			return
		}
		k.local, k.attempt = localRunning, w.Attempt
		o.actions = append(o.actions, Execute{Attempt: w.Attempt, Key: k.key})
	case localRunning:
		o.actions = append(o.actions, Attach{Attempt: w.Attempt, To: k.attempt})
	case localDone:
		if k.result != nil {
			o.actions = append(o.actions, Replay{Attempt: w.Attempt, Result: k.result})
			return
		}
		o.answerDone(w.Attempt)
	case localReleasing:
		k.waiters = append(k.waiters, w)
	default:
		o.answer(w.Attempt, protocol.Unknown, protocol.CodeUnknownOutcome, "the request may have run", 0)
	}
}

// decideOther answers for a key that another process has claimed. Only that process
// knows more, and only in the epoch that claimed the key.
func (o *Once) decideOther(k *keyState, w waiter) {
	p := o.peers[k.winner.endpoint]
	gone := k.winner.endpoint == o.self || p != nil && p.pastEpochs[k.winner.epoch]
	down := p != nil && p.down
	switch {
	case k.winner.done && (gone || down || w.Redirected):
		o.answerDone(w.Attempt)
	case gone:
		o.answer(w.Attempt, protocol.Unknown, protocol.CodeUnknownOutcome, "the process that claimed the request is gone", 0)
	case down || w.Redirected:
		o.answer(w.Attempt, protocol.Unknown, protocol.CodeUnknownOutcome, "the process that claimed the request can't be reached", o.params.RetryAfter)
	default:
		o.actions = append(o.actions, Answer{Attempt: w.Attempt, End: protocol.End{
			Attempt: w.Attempt, Outcome: protocol.Unknown, Message: "claimed by another endpoint",
			Redirect: &protocol.Target{Endpoint: k.winner.endpoint, Epoch: k.winner.epoch},
		}})
	}
}

func (o *Once) answerDone(a protocol.AttemptID) {
	o.answer(a, protocol.Done, protocol.CodeKeyConflict, "the request has run; its answer is not kept", 0)
}

func (o *Once) answer(a protocol.AttemptID, ran protocol.Outcome, code protocol.Code, message string, after time.Duration) {
	o.actions = append(o.actions, Answer{Attempt: a, End: protocol.End{
		Attempt: a, Outcome: ran, Code: code, Message: message, RetryAfterMs: after.Milliseconds(),
	}})
}

// decideWaiters decides all Runs that wait for a key.
func (o *Once) decideWaiters(k *keyState, now time.Duration) {
	waiters := k.waiters
	k.waiters = nil
	for _, w := range waiters {
		o.decide(k, w, now)
	}
}
