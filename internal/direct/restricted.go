package direct

import (
	"net/http"
	"slices"
	"time"

	"skylarklead/internal/attempt"
)

const (
	// grantRetryAfter is the Retry-After of a request that waited too long for its turn: a run takes
	// less, and shows whether the others may follow.
	grantRetryAfter = time.Second
	// minGrantLeft is how much of a grant's time must be left when its run begins.
	minGrantLeft = grantLease / 2
	reasonNoTurn = "request waits until a run shows whether it crashes replicas"
)

// restrictedKeys returns the keys of which one run at a time may be under way, but for those that this
// request has.
func (req *request) restrictedKeys() []uint64 {
	s := req.entry.state
	s.mu.Lock()
	now := req.entry.clock.now()
	keys := s.crashes.Restricted(req.keys, now)
	s.mu.Unlock()
	return slices.DeleteFunc(keys, func(key uint64) bool {
		return slices.ContainsFunc(req.grants, func(g runGrant) bool { return g.key == key && now < g.until-minGrantLeft })
	})
}

// awaitTurn waits until the request may run. It returns false if it answered the request instead.
func (req *request) awaitTurn() bool {
	e := req.entry
	for {
		began := e.clock.now()
		if len(req.restrictedKeys()) == 0 {
			return true
		}
		changed := e.peers.grants.changes()
		req.releaseGrants(0) // they are about to expire, or don't suffice any more
		if keys := req.restrictedKeys(); len(keys) == 0 || req.acquire(keys) {
			return true
		}
		left := min(maxGrantWait, time.Duration(float64(req.patienceLeft(began))/waitDivisor)) - req.heldBack
		if left <= 0 {
			req.answerNoTurn()
			return false
		}
		pause := time.NewTimer(min(left, grantPause))
		select {
		case <-changed:
		case <-pause.C:
		case <-req.ctx.Done():
		}
		pause.Stop()
		req.heldBack += e.clock.now() - began
		if req.ctx.Err() != nil {
			req.answerEnded(false)
			return false
		}
		if req.answerIfPoison() {
			return false
		}
	}
}

// acquire asks for all of some keys, and returns what it got if it doesn't get all.
func (req *request) acquire(keys []uint64) bool {
	for _, key := range keys {
		grant, ok := req.entry.peers.grants.acquire(req.ctx, key)
		if !ok {
			req.releaseGrants(0)
			return false
		}
		req.grants = append(req.grants, grant)
	}
	req.entry.tel.Metrics.Count("runs_granted", 1)
	return true
}

// releaseGrants returns the request's keys.
func (req *request) releaseGrants(settle time.Duration) {
	for _, grant := range req.grants {
		req.entry.peers.grants.release(grant, settle)
	}
	req.grants = nil
}

// endGrants returns the request's keys after a run, of which it may not be known yet whether it crashed
// the replica.
func (req *request) endGrants(failure attempt.DispatchFailure, done bool) {
	if !done && failure == attempt.FailureUnknown {
		req.releaseGrants(grantSettle)
		return
	}
	req.releaseGrants(0)
}

// liftRestriction tells all entries that keys are sound: their requests wait for this one run.
func (req *request) liftRestriction(keys []uint64) {
	e := req.entry
	if len(req.grants) == 0 {
		return
	}
	sound := make([]attempt.SoundKey, len(keys))
	for i, key := range keys {
		sound[i].Key = key
	}
	for batch := range slices.Chunk(sound, maxMessageSound) {
		e.peers.broadcast(&peerMessage{From: e.settings.ID, Epoch: uint64(e.tel.Epoch), Sound: batch})
	}
	e.peers.grants.wake()
}

// checkWriting clears the parts of the prompt of a run for which others wait, once its stream has been
// written for long enough.
func (req *request) checkWriting(p *placement) {
	if len(req.grants) == 0 || req.writing || p.lastEventAt-p.firstEventAt <= writingProvesSound {
		return
	}
	req.writing = true
	s := req.entry.state
	s.mu.Lock()
	now := req.entry.clock.now()
	lifted := s.liftedBy(attempt.RequestKeys{Parts: req.keys.Parts}, now, func() { s.crashes.RecordSound(req.keys.Parts, now) })
	s.mu.Unlock()
	req.entry.verdicts.remove(lifted)
	req.liftRestriction(req.keys.Parts)
}

// answerNoTurn answers a request that has waited too long for a key.
func (req *request) answerNoTurn() {
	req.entry.tel.Metrics.Count("requests_without_turn", 1)
	switch {
	case req.firstByte > 0:
		req.abort(reasonNoTurn)
	case req.fallbackAnswer != nil:
		req.writeAnswer(req.fallbackAnswer)
	case req.plan.MayHaveRun():
		req.fail(http.StatusBadGateway, reasonNoTurn, 0)
	default:
		req.refuse(reasonNoTurn, grantRetryAfter)
	}
}
