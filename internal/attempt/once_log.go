package attempt

import (
	"time"

	"skylarklead/internal/protocol"
)

// ApplyRecord applies the next record of the stream. Records are passed in order of
// offset, starting with the oldest one on the log; a record that was applied before
// has no effect.
func (o *Once) ApplyRecord(offset uint64, data []byte, now time.Duration) []OnceAction {
	if offset <= o.position {
		return o.takeActions(now)
	}
	o.position = offset
	batch, err := DecodeClaims(data)
	if err != nil {
		o.malformed++
		return o.takeActions(now)
	}
	for _, s := range batch.Settlements {
		o.applySettlement(batch, s, offset, now)
	}
	for _, c := range batch.CarriedClaims {
		o.applyCarriedClaim(c, now)
	}
	for _, c := range batch.Claims {
		o.applyClaim(batch, c, offset, now)
	}
	return o.takeActions(now)
}

// applyClaim implements the rule that decides who may run a key: the first claim on
// the log wins.
func (o *Once) applyClaim(b *ClaimBatch, c Claim, offset uint64, now time.Duration) {
	k := o.key(c.Key, now)
	own := b.Endpoint == o.self && b.Epoch == o.epoch
	if own {
		k.claim = claimIdle
	}
	if k.winner.offset == 0 {
		k.winner = winner{offset: offset, endpoint: b.Endpoint, epoch: b.Epoch}
		k.fingerprint = c.Fingerprint
		k.dated = c.AgeMs > 0
		k.createdAt = now - millis(c.AgeMs)
		k.loggedAt = now
		if own {
			// The claim may have been won long after its callers were refused. This
			// process knows that it has not run the key, and may run it for a later
			// caller.
			o.markIdle(k, now)
		}
	}
	if o.caughtUp {
		o.decideWaiters(k, now)
	}
}

// applySettlement applies a statement of the winner. It identifies the claim by
// offset, because a release that was appended twice must not free a later claim of the
// same key.
func (o *Once) applySettlement(b *ClaimBatch, s Settlement, offset uint64, now time.Duration) {
	k, ok := o.keys[s.Key]
	if !ok || k.winner.offset != s.Claim || k.winner.endpoint != b.Endpoint || k.winner.epoch != b.Epoch {
		return
	}
	switch s.Outcome {
	case protocol.Done:
		k.winner.done = true
	case protocol.NotRun:
		k.winner = winner{}
		k.releaseOffset = offset
		k.local = localNone
		if o.caughtUp {
			o.decideWaiters(k, now)
		}
	}
}

// applyCarriedClaim applies an undated key's claim whose own record may be gone from
// the log. It doesn't override what this process knows about a key that it has run
// itself.
func (o *Once) applyCarriedClaim(c CarriedClaim, now time.Duration) {
	k := o.key(c.Key, now)
	if c.Claim < k.releaseOffset {
		return
	}
	if k.winner.offset == c.Claim {
		k.loggedAt = now
		k.winner.done = k.winner.done || c.Done
		return
	}
	ran := k.local == localRunning || k.local == localDone || k.local == localUnknown
	if k.winner.offset != 0 && (k.winner.offset < c.Claim || ran) {
		return
	}
	k.winner = winner{offset: c.Claim, endpoint: c.Endpoint, epoch: c.Epoch, done: c.Done}
	k.fingerprint = c.Fingerprint
	k.dated = false
	k.createdAt, k.loggedAt = now-millis(c.AgeMs), now
	k.local = localNone
	if o.isMine(k) {
		o.markIdle(k, now)
	}
	if o.caughtUp {
		o.decideWaiters(k, now)
	}
}

// CaughtUp records that a read that began at started has reached the end of the
// stream. Anything appended before started and not found by this read was lost.
func (o *Once) CaughtUp(started, now time.Duration) []OnceAction {
	o.lastReadStart = max(o.lastReadStart, started)
	if !o.caughtUp {
		o.caughtUp = true
		o.ageUndated(now)
		o.decideEarly(now)
	}
	unresolved := o.uncertain
	o.uncertain = nil
	for _, k := range unresolved {
		o.resolveUncertain(k, started)
	}
	return o.takeActions(now)
}

func (o *Once) resolveUncertain(k *keyState, started time.Duration) {
	if k.uncertainSince > started {
		o.uncertain = append(o.uncertain, k)
		return
	}
	if k.claim == claimUncertain {
		k.claim = claimIdle
		o.requeue(k)
	}
	if k.local == localReleasing {
		o.outbox.addRelease(k)
	}
}

// requeue claims again for a key that still has waiting Runs. The first append may
// still take effect; both are claims of the same process, so that is harmless.
func (o *Once) requeue(k *keyState) {
	if k.winner.offset == 0 && len(k.waiters) > 0 && k.claim == claimIdle {
		k.claim = claimQueued
		o.outbox.claims = append(o.outbox.claims, k)
	}
}

// decideEarly decides the Runs that arrived before the first complete read.
func (o *Once) decideEarly(now time.Duration) {
	done := map[KeyDigest]bool{}
	for _, d := range o.deadlines {
		if k, ok := o.keys[d.key]; ok && !done[d.key] {
			done[d.key] = true
			o.decideWaiters(k, now)
		}
	}
}

// Truncated records that the log no longer has the record after Position, and that
// reading continues at oldest. Nothing is run until the end of the stream is reached
// again.
func (o *Once) Truncated(oldest uint64, now time.Duration) []OnceAction {
	o.position = max(o.position, oldest-1)
	o.caughtUp = false
	return o.takeActions(now)
}

// Appended records that a batch is on the log. Who has won is learned by reading it
// back.
func (o *Once) Appended(batch uint64, now time.Duration) []OnceAction {
	if b := o.outbox.takeInFlight(batch); b != nil {
		o.outbox.schedule(now + o.params.AppendInterval)
		o.failingSince = 0
		o.markUncertain(b, now)
	}
	return o.takeActions(now)
}

// AppendFailed records that a batch is not on the log and will not be. retryAfter is
// the delay that the log asked for, or 0.
func (o *Once) AppendFailed(batch uint64, retryAfter, now time.Duration) []OnceAction {
	b := o.outbox.takeInFlight(batch)
	if b == nil {
		return o.takeActions(now)
	}
	o.outbox.backOff(o.params, retryAfter, now)
	o.recordAppendFailure(now)
	for _, k := range b.claims {
		if k.claim == claimAppending {
			k.claim = claimIdle
			o.requeue(k)
		}
	}
	for _, k := range b.releases {
		o.outbox.addRelease(k)
	}
	o.outbox.settlements = append(b.settlements, o.outbox.settlements...)
	return o.takeActions(now)
}

// AppendUnknown records that the answer to an append was lost. Reading the log shows
// whether it took effect.
func (o *Once) AppendUnknown(batch uint64, now time.Duration) []OnceAction {
	if b := o.outbox.takeInFlight(batch); b != nil {
		o.outbox.backOff(o.params, 0, now)
		o.recordAppendFailure(now)
		o.markUncertain(b, now)
	}
	return o.takeActions(now)
}

func (o *Once) markUncertain(b *inFlightBatch, now time.Duration) {
	for _, k := range b.claims {
		if k.claim == claimAppending {
			k.claim, k.uncertainSince = claimUncertain, now
			o.uncertain = append(o.uncertain, k)
		}
	}
	for _, k := range b.releases {
		if k.local == localReleasing {
			k.uncertainSince = now
			o.uncertain = append(o.uncertain, k)
		}
	}
}

// Tick refuses Runs that have waited too long, releases idle claims, carries undated
// keys forward and sends what is due.
func (o *Once) Tick(now time.Duration) []OnceAction {
	o.refuseExpired(now)
	o.releaseIdle(now)
	if now >= o.nextSweep {
		o.nextSweep = now + o.params.Retention/64
		o.sweep(now)
	}
	return o.takeActions(now)
}

// releaseIdle releases claims without a waiting Run after IdleClaimTTL, and all of
// them when draining.
func (o *Once) releaseIdle(now time.Duration) {
	kept := o.idleClaims[:0]
	for _, k := range o.idleClaims {
		switch {
		case !o.isMine(k) || k.local != localNotRun:
		case o.draining || now-k.idleSince >= o.params.IdleClaimTTL:
			k.local = localReleasing
			o.outbox.addRelease(k)
		default:
			kept = append(kept, k)
		}
	}
	clear(o.idleClaims[len(kept):])
	o.idleClaims = kept
}

// NextTick returns the time by which Tick has to be called next.
func (o *Once) NextTick(now time.Duration) time.Duration {
	at := o.nextSweep
	if len(o.deadlines) > 0 {
		at = min(at, o.deadlines[0].at)
	}
	for _, k := range o.idleClaims {
		at = min(at, k.idleSince+o.params.IdleClaimTTL)
	}
	if due, ok := o.outbox.due(o.params); ok {
		at = min(at, due)
	}
	return max(at, now)
}
