package attempt

import (
	"cmp"
	"slices"
	"time"

	"skylarklead/internal/protocol"
)

// outbox collects what goes to the log. One append is in flight at a time; what is
// added meanwhile shares the next one.
type outbox struct {
	claims        []*keyState
	releases      []*keyState
	settlements   []pendingSettlement
	carriedClaims []*keyState
	inFlight      *inFlightBatch
	lastID        uint64
	nextAppend    time.Duration
	backoff       time.Duration
}

type pendingSettlement struct {
	Settlement
	queuedAt time.Duration
}

// inFlightBatch is a batch whose append is not answered yet.
type inFlightBatch struct {
	id          uint64
	claims      []*keyState
	releases    []*keyState
	settlements []pendingSettlement
}

func (o *outbox) addSettlement(k *keyState, ran protocol.Outcome, now time.Duration) {
	o.settlements = append(o.settlements, pendingSettlement{Settlement{Key: k.key, Claim: k.winner.offset, Outcome: ran}, now})
}

func (o *outbox) addRelease(k *keyState) { o.releases = append(o.releases, k) }

func (o *outbox) takeInFlight(id uint64) *inFlightBatch {
	if o.inFlight == nil || o.inFlight.id != id {
		return nil
	}
	out := o.inFlight
	o.inFlight = nil
	return out
}

func (o *outbox) schedule(next time.Duration) { o.nextAppend, o.backoff = next, 0 }

func (o *outbox) backOff(p OnceParams, retryAfter, now time.Duration) {
	o.backoff = min(max(2*o.backoff, p.AppendInterval), p.MaxBackoff)
	o.nextAppend = now + max(o.backoff, retryAfter)
}

// due returns when the next append should be sent, and false if there is none to send.
func (o *outbox) due(p OnceParams) (time.Duration, bool) {
	if o.inFlight != nil {
		return 0, false
	}
	if len(o.claims) > 0 || len(o.releases) > 0 || len(o.carriedClaims) > 0 {
		return o.nextAppend, true
	}
	if len(o.settlements) > 0 {
		return max(o.nextAppend, o.settlements[0].queuedAt+p.SettlementDelay), true
	}
	return 0, false
}

// takeActions returns the collected actions, including the next append if it is due.
func (o *Once) takeActions(now time.Duration) []OnceAction {
	if due, ok := o.outbox.due(o.params); ok && due <= now {
		o.sendBatch(now)
	}
	out := o.actions
	o.actions = nil
	return out
}

func (o *Once) sendBatch(now time.Duration) {
	batch := &ClaimBatch{Endpoint: o.self, Epoch: o.epoch}
	sent := &inFlightBatch{id: o.outbox.lastID + 1}
	inBatch := map[KeyDigest]bool{}
	o.sendReleases(batch, sent, inBatch)
	o.sendSettlements(batch, sent)
	o.sendCarriedClaims(batch, now)
	o.sendClaims(batch, sent, inBatch, now)
	if len(batch.Settlements) == 0 && len(batch.CarriedClaims) == 0 && len(batch.Claims) == 0 {
		return
	}
	data, err := EncodeClaims(batch)
	if err != nil {
		// The batch consists of plain values, so encoding fails only on a bug in the
		// codec.
		panic(err)
	}
	o.outbox.lastID = sent.id
	o.outbox.inFlight = sent
	o.actions = append(o.actions, AppendClaims{Batch: sent.id, Data: data})
}

func (o *Once) sendReleases(batch *ClaimBatch, sent *inFlightBatch, inBatch map[KeyDigest]bool) {
	n := min(len(o.outbox.releases), maxBatch)
	for _, k := range o.outbox.releases[:n] {
		if !o.isMine(k) || k.local != localReleasing || inBatch[k.key] {
			continue
		}
		inBatch[k.key] = true
		batch.Settlements = append(batch.Settlements, Settlement{Key: k.key, Claim: k.winner.offset, Outcome: protocol.NotRun})
		sent.releases = append(sent.releases, k)
	}
	o.outbox.releases = o.outbox.releases[n:]
}

func (o *Once) sendSettlements(batch *ClaimBatch, sent *inFlightBatch) {
	n := min(len(o.outbox.settlements), maxBatch-len(batch.Settlements))
	for _, s := range o.outbox.settlements[:n] {
		batch.Settlements = append(batch.Settlements, s.Settlement)
		sent.settlements = append(sent.settlements, s)
	}
	o.outbox.settlements = o.outbox.settlements[n:]
}

func (o *Once) sendCarriedClaims(batch *ClaimBatch, now time.Duration) {
	n := min(len(o.outbox.carriedClaims), maxBatch)
	for _, k := range o.outbox.carriedClaims[:n] {
		if k.winner.offset == 0 {
			continue
		}
		batch.CarriedClaims = append(batch.CarriedClaims, CarriedClaim{
			Key: k.key, Fingerprint: k.fingerprint, Endpoint: k.winner.endpoint, Epoch: k.winner.epoch,
			Claim: k.winner.offset, Done: k.winner.done, AgeMs: (now - k.createdAt).Milliseconds(),
		})
	}
	o.outbox.carriedClaims = o.outbox.carriedClaims[n:]
}

func (o *Once) sendClaims(batch *ClaimBatch, sent *inFlightBatch, inBatch map[KeyDigest]bool, now time.Duration) {
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
			k.claim = claimIdle // already decided, or no Run is waiting
			continue
		}
		if inBatch[k.key] {
			o.outbox.claims = append(o.outbox.claims, k)
			continue
		}
		inBatch[k.key] = true
		k.claim = claimAppending
		batch.Claims = append(batch.Claims, k.toClaim(now))
		sent.claims = append(sent.claims, k)
	}
}

func (k *keyState) toClaim(now time.Duration) Claim {
	c := Claim{Key: k.key, Fingerprint: k.fingerprint}
	if k.dated {
		c.AgeMs = max((now - k.createdAt).Milliseconds(), 1)
	}
	return c
}

// sweep forgets expired keys. If this process carries undated keys forward, it also
// queues those whose records retention would soon remove.
func (o *Once) sweep(now time.Duration) {
	var undated []*keyState
	for d, k := range o.keys {
		switch {
		case k.claim != claimIdle || len(k.waiters) > 0 || k.local == localRunning || k.local == localReleasing:
		case now-k.createdAt >= o.retention(k):
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
	if !o.carryForward || !o.caughtUp || len(o.outbox.carriedClaims) > 0 {
		return
	}
	for _, k := range undated {
		if now-k.loggedAt >= o.params.Retention/4 {
			o.outbox.carriedClaims = append(o.outbox.carriedClaims, k)
		}
	}
}

func (o *Once) retention(k *keyState) time.Duration {
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
	o.resultBytes -= k.result.size()
	k.result = nil
	o.results = slices.DeleteFunc(o.results, func(r *keyState) bool { return r == k })
}

// ageUndated makes undated keys due to be carried forward after the first complete
// read. At that point it is not known how long their records have been on the log, so
// retention may be about to remove them.
func (o *Once) ageUndated(now time.Duration) {
	for _, k := range o.keys {
		if !k.dated {
			k.loggedAt = min(k.loggedAt, now-o.params.Retention/4)
		}
	}
	o.nextSweep = now
}
