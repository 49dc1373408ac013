package attempt

import (
	"time"

	"skylarklead/internal/protocol"
)

// ApplyRecord takes the next record of the stream. Records come in order of offset,
// from the oldest one that the log has; one taken before changes nothing.
func (o *Once) ApplyRecord(offset uint64, data []byte, now time.Duration) []OnceAction {
	if offset <= o.position {
		return o.take(now)
	}
	o.position = offset
	batch, err := DecodeClaims(data)
	if err != nil {
		o.malformed++
		return o.take(now)
	}
	for _, s := range batch.Settlements {
		o.applySettle(batch, s, offset, now)
	}
	for _, c := range batch.CarriedClaims {
		o.applyCarry(c, now)
	}
	for _, c := range batch.Claims {
		o.applyClaim(batch, c, offset, now)
	}
	return o.take(now)
}

// applyClaim is the one rule of who may run a key.
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
		k.born = now - millis(c.AgeMs)
		k.loggedAt = now
		if own {
			// Won, perhaps long after its callers were refused: this process knows
			// that it has not run it, and may run it for a later caller.
			o.rest(k, now)
		}
	}
	if o.caughtUp {
		o.redecide(k, now)
	}
}

// applySettle takes the winner's word. It names the claim by its offset: a
// release that was appended twice must not free a later claim of the same key.
func (o *Once) applySettle(b *ClaimBatch, s Settlement, offset uint64, now time.Duration) {
	k, ok := o.keys[s.Key]
	if !ok || k.winner.offset != s.Claim || k.winner.endpoint != b.Endpoint || k.winner.epoch != b.Epoch {
		return
	}
	switch s.Outcome {
	case protocol.Done:
		k.winner.done = true
	case protocol.NotRun:
		k.winner = winner{}
		k.releasedAt = offset
		k.mine = mineNone
		if o.caughtUp {
			o.redecide(k, now)
		}
	}
}

// applyCarry takes an undated key's claim from before the records that are left.
// What this process has run itself it knows better.
func (o *Once) applyCarry(c CarriedClaim, now time.Duration) {
	k := o.key(c.Key, now)
	if c.Claim < k.releasedAt {
		return
	}
	if k.winner.offset == c.Claim {
		k.loggedAt = now
		k.winner.done = k.winner.done || c.Done
		return
	}
	ran := k.mine == mineRunning || k.mine == mineDone || k.mine == mineUnknown
	if k.winner.offset != 0 && (k.winner.offset < c.Claim || ran) {
		return
	}
	k.winner = winner{offset: c.Claim, endpoint: c.Endpoint, epoch: c.Epoch, done: c.Done}
	k.fingerprint = c.Fingerprint
	k.dated = false
	k.born, k.loggedAt = now-millis(c.AgeMs), now
	k.mine = mineNone
	if o.isMine(k) {
		o.rest(k, now)
	}
	if o.caughtUp {
		o.redecide(k, now)
	}
}

// CaughtUp says that a read that began at started has reached the end of the
// stream. What was appended before and isn't there was lost.
func (o *Once) CaughtUp(started, now time.Duration) []OnceAction {
	o.freshAt = max(o.freshAt, started)
	if !o.caughtUp {
		o.caughtUp = true
		o.ageUndated(now)
		o.decideHeld(now)
	}
	doubts := o.doubts
	o.doubts = nil
	for _, k := range doubts {
		o.resolveDoubt(k, started)
	}
	return o.take(now)
}

func (o *Once) resolveDoubt(k *keyState, started time.Duration) {
	if k.doubtAt > started {
		o.doubts = append(o.doubts, k)
		return
	}
	if k.claim == claimDoubt {
		k.claim = claimIdle
		o.requeue(k)
	}
	if k.mine == mineReleasing {
		o.outbox.release(k)
	}
}

// requeue claims again for a key that still has callers. The first append may
// yet land; both are claims of the same process, so it does no harm.
func (o *Once) requeue(k *keyState) {
	if k.winner.offset == 0 && len(k.waiters) > 0 && k.claim == claimIdle {
		k.claim = claimQueued
		o.outbox.claims = append(o.outbox.claims, k)
	}
}

// decideHeld decides what arrived before the first complete read.
func (o *Once) decideHeld(now time.Duration) {
	done := map[KeyDigest]bool{}
	for _, d := range o.deadlines {
		if k, ok := o.keys[d.key]; ok && !done[d.key] {
			done[d.key] = true
			o.redecide(k, now)
		}
	}
}

// Truncated says that the log no longer has the record after Position; reading goes on
// from oldest. Nothing is run until the end is reached again.
func (o *Once) Truncated(oldest uint64, now time.Duration) []OnceAction {
	o.position = max(o.position, oldest-1)
	o.caughtUp = false
	return o.take(now)
}

// Appended says that a batch is on the log. Who has won is read from there.
func (o *Once) Appended(batch uint64, now time.Duration) []OnceAction {
	if b := o.outbox.answered(batch); b != nil {
		o.outbox.pace(now + o.params.AppendInterval)
		o.failingSince = 0
		o.doubt(b, now)
	}
	return o.take(now)
}

// AppendFailed says that a batch is not on the log and will not be. retryAfter
// is the log's own wish, or 0.
func (o *Once) AppendFailed(batch uint64, retryAfter, now time.Duration) []OnceAction {
	b := o.outbox.answered(batch)
	if b == nil {
		return o.take(now)
	}
	o.outbox.backOff(o.params, retryAfter, now)
	o.failing(now)
	for _, k := range b.claims {
		if k.claim == claimAppending {
			k.claim = claimIdle
			o.requeue(k)
		}
	}
	for _, k := range b.releases {
		o.outbox.release(k)
	}
	o.outbox.settles = append(b.settles, o.outbox.settles...)
	return o.take(now)
}

// AppendUnknown says that an append's answer was lost. Reading the log back
// tells whether it took effect.
func (o *Once) AppendUnknown(batch uint64, now time.Duration) []OnceAction {
	if b := o.outbox.answered(batch); b != nil {
		o.outbox.backOff(o.params, 0, now)
		o.failing(now)
		o.doubt(b, now)
	}
	return o.take(now)
}

func (o *Once) doubt(b *outgoing, now time.Duration) {
	for _, k := range b.claims {
		if k.claim == claimAppending {
			k.claim, k.doubtAt = claimDoubt, now
			o.doubts = append(o.doubts, k)
		}
	}
	for _, k := range b.releases {
		if k.mine == mineReleasing {
			k.doubtAt = now
			o.doubts = append(o.doubts, k)
		}
	}
}

// Tick refuses what has waited too long, releases idle claims, carries undated
// keys and sends what is due.
func (o *Once) Tick(now time.Duration) []OnceAction {
	o.refuseLate(now)
	o.releaseIdle(now)
	if now >= o.sweepAt {
		o.sweepAt = now + o.params.Retention/64
		o.sweep(now)
	}
	return o.take(now)
}

// releaseIdle releases claims that nobody came for, all of them when leaving.
func (o *Once) releaseIdle(now time.Duration) {
	kept := o.idle[:0]
	for _, k := range o.idle {
		switch {
		case !o.isMine(k) || k.mine != mineNotRun:
		case o.leaving || now-k.idleSince >= o.params.IdleClaimTTL:
			k.mine = mineReleasing
			o.outbox.release(k)
		default:
			kept = append(kept, k)
		}
	}
	clear(o.idle[len(kept):])
	o.idle = kept
}

// NextTick returns when Tick has something to do at the latest.
func (o *Once) NextTick(now time.Duration) time.Duration {
	at := o.sweepAt
	if len(o.deadlines) > 0 {
		at = min(at, o.deadlines[0].at)
	}
	for _, k := range o.idle {
		at = min(at, k.idleSince+o.params.IdleClaimTTL)
	}
	if due, ok := o.outbox.due(o.params); ok {
		at = min(at, due)
	}
	return max(at, now)
}
