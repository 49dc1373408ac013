package attempt

import (
	"cmp"
	"slices"
	"time"

	"skylarklead/internal/protocol"
)

// outbox gathers what goes to the log, one append at a time, so that what comes
// up during an append shares the next one.
type outbox struct {
	claims   []*keyState
	releases []*keyState
	settles  []pendingSettle
	carries  []*keyState
	inflight *outgoing
	last     uint64
	next     time.Duration
	backoff  time.Duration
}

type pendingSettle struct {
	Settlement
	at time.Duration
}

// outgoing is a batch whose append is not answered yet.
type outgoing struct {
	id       uint64
	claims   []*keyState
	releases []*keyState
	settles  []pendingSettle
}

func (b *outbox) settle(k *keyState, ran protocol.Outcome, now time.Duration) {
	b.settles = append(b.settles, pendingSettle{Settlement{Key: k.key, Claim: k.winner.offset, Outcome: ran}, now})
}

func (b *outbox) release(k *keyState) { b.releases = append(b.releases, k) }

func (b *outbox) answered(id uint64) *outgoing {
	if b.inflight == nil || b.inflight.id != id {
		return nil
	}
	out := b.inflight
	b.inflight = nil
	return out
}

func (b *outbox) pace(next time.Duration) { b.next, b.backoff = next, 0 }

func (b *outbox) backOff(p OnceParams, retryAfter, now time.Duration) {
	b.backoff = min(max(2*b.backoff, p.AppendInterval), p.MaxBackoff)
	b.next = now + max(b.backoff, retryAfter)
}

// due returns when the next append should go out.
func (b *outbox) due(p OnceParams) (time.Duration, bool) {
	if b.inflight != nil {
		return 0, false
	}
	if len(b.claims) > 0 || len(b.releases) > 0 || len(b.carries) > 0 {
		return b.next, true
	}
	if len(b.settles) > 0 {
		return max(b.next, b.settles[0].at+p.SettlementDelay), true
	}
	return 0, false
}

// take returns the actions gathered, with the next append if it is due.
func (o *Once) take(now time.Duration) []OnceAction {
	if due, ok := o.outbox.due(o.params); ok && due <= now {
		o.send(now)
	}
	out := o.out
	o.out = nil
	return out
}

func (o *Once) send(now time.Duration) {
	batch := &ClaimBatch{Endpoint: o.self, Epoch: o.epoch}
	flight := &outgoing{id: o.outbox.last + 1}
	inBatch := map[KeyDigest]bool{}
	o.sendReleases(batch, flight, inBatch)
	o.sendSettles(batch, flight)
	o.sendCarries(batch, now)
	o.sendClaims(batch, flight, inBatch, now)
	if len(batch.Settlements) == 0 && len(batch.CarriedClaims) == 0 && len(batch.Claims) == 0 {
		return
	}
	data, err := EncodeClaims(batch)
	if err != nil {
		// The batch is made of plain values; only a bug in the codec gets here.
		panic(err)
	}
	o.outbox.last = flight.id
	o.outbox.inflight = flight
	o.out = append(o.out, AppendClaims{Batch: flight.id, Data: data})
}

func (o *Once) sendReleases(batch *ClaimBatch, flight *outgoing, inBatch map[KeyDigest]bool) {
	n := min(len(o.outbox.releases), maxBatch)
	for _, k := range o.outbox.releases[:n] {
		if !o.isMine(k) || k.mine != mineReleasing || inBatch[k.key] {
			continue
		}
		inBatch[k.key] = true
		batch.Settlements = append(batch.Settlements, Settlement{Key: k.key, Claim: k.winner.offset, Outcome: protocol.NotRun})
		flight.releases = append(flight.releases, k)
	}
	o.outbox.releases = o.outbox.releases[n:]
}

func (o *Once) sendSettles(batch *ClaimBatch, flight *outgoing) {
	n := min(len(o.outbox.settles), maxBatch-len(batch.Settlements))
	for _, s := range o.outbox.settles[:n] {
		batch.Settlements = append(batch.Settlements, s.Settlement)
		flight.settles = append(flight.settles, s)
	}
	o.outbox.settles = o.outbox.settles[n:]
}

func (o *Once) sendCarries(batch *ClaimBatch, now time.Duration) {
	n := min(len(o.outbox.carries), maxBatch)
	for _, k := range o.outbox.carries[:n] {
		if k.winner.offset == 0 {
			continue
		}
		batch.CarriedClaims = append(batch.CarriedClaims, CarriedClaim{
			Key: k.key, Fingerprint: k.fingerprint, Endpoint: k.winner.endpoint, Epoch: k.winner.epoch,
			Claim: k.winner.offset, Done: k.winner.done, AgeMs: (now - k.born).Milliseconds(),
		})
	}
	o.outbox.carries = o.outbox.carries[n:]
}

func (o *Once) sendClaims(batch *ClaimBatch, flight *outgoing, inBatch map[KeyDigest]bool, now time.Duration) {
	queue := o.outbox.claims
	o.outbox.claims = nil
	for i, k := range queue {
		if len(batch.Claims) >= maxBatch {
			o.outbox.claims = append(o.outbox.claims, queue[i:]...)
			return
		}
		if k.claim != claimQueued {
			continue
		}
		if k.winner.offset != 0 || len(k.waiters) == 0 {
			k.claim = claimIdle // decided, or nobody waits any more
			continue
		}
		if inBatch[k.key] {
			o.outbox.claims = append(o.outbox.claims, k)
			continue
		}
		inBatch[k.key] = true
		k.claim = claimAppending
		batch.Claims = append(batch.Claims, k.toClaim(now))
		flight.claims = append(flight.claims, k)
	}
}

func (k *keyState) toClaim(now time.Duration) Claim {
	c := Claim{Key: k.key, Fingerprint: k.fingerprint}
	if k.dated {
		c.AgeMs = max((now - k.born).Milliseconds(), 1)
	}
	return c
}

// sweep forgets keys whose time is over and, at the carrier, queues undated ones
// whose records retention would take.
func (o *Once) sweep(now time.Duration) {
	var undated []*keyState
	for d, k := range o.keys {
		switch {
		case k.claim != claimIdle || len(k.waiters) > 0 || k.mine == mineRunning || k.mine == mineReleasing:
		case now-k.born >= o.memory(k):
			o.forget(d, k)
		case !k.dated && k.winner.offset != 0:
			undated = append(undated, k)
		}
	}
	slices.SortFunc(undated, func(a, b *keyState) int { return cmp.Compare(a.winner.offset, b.winner.offset) })
	for len(undated) > o.params.MaxUndated {
		o.forget(undated[0].key, undated[0])
		undated = undated[1:]
	}
	if !o.carrier || !o.caughtUp || len(o.outbox.carries) > 0 {
		return
	}
	for _, k := range undated {
		if now-k.loggedAt >= o.params.Retention/4 {
			o.outbox.carries = append(o.outbox.carries, k)
		}
	}
}

func (o *Once) memory(k *keyState) time.Duration {
	if k.winner.offset == 0 || k.dated {
		return o.params.Retention
	}
	return o.params.UndatedTTL
}

func (o *Once) forget(d KeyDigest, k *keyState) {
	delete(o.keys, d)
	if k.result == nil {
		return
	}
	o.kept -= k.result.size()
	k.result = nil
	o.results = slices.DeleteFunc(o.results, func(r *keyState) bool { return r == k })
}

// ageUndated makes undated keys due to be carried after the first complete read.
// How long their records have been on the log isn't known then, and retention
// may be about to take them.
func (o *Once) ageUndated(now time.Duration) {
	for _, k := range o.keys {
		if !k.dated {
			k.loggedAt = min(k.loggedAt, now-o.params.Retention/4)
		}
	}
	o.sweepAt = now
}
