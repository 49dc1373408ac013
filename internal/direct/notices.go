package direct

import (
	"slices"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/peermessage"
	"skylarklead/internal/ratelimit"
)

const (
	// maxMessageNotices bounds the notices in a message; names of replicas have some 50 bytes.
	maxMessageNotices = 20
	// leavingSends is how often peers are notified that a replica leaves: a datagram may be lost.
	leavingSends = 2
)

// handleNotice handles what a replica announces of itself in the head of an answer.
func (req *request) handleNotice(p *placement, head *fleet.Answer) {
	req.dispatches[len(req.dispatches)-1].notice = head.Notice
	if head.Instance != "" && head.Instance != p.replica.Name {
		return // another replica has the address
	}
	req.entry.applyNotice(p.replica.ID, &head.Notice, p.pickedAt, head.Sealed || head.NotRun && !head.Misdirected)
}

// applyNotice applies what a replica announces in an answer to what was sent at the given time.
// complete says that the answer is to a caller's request: only from such an answer does the absence of a
// notice mean that it no longer holds.
func (e *Entry) applyNotice(replica string, n *fleet.Notice, sent time.Duration, complete bool) {
	if n.Malformed {
		e.tel.Metrics.Count("replica_notices_malformed", 1)
	}
	now := e.clock.now()
	s := e.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Leaving && s.replicas.MarkLeaving(replica) {
		s.leavingToSend[replica] = leavingSends
		e.tel.Log.Info("replica is leaving", "replica", replica, "by", "its answer")
	}
	if n.Backoff > 0 && s.replicas.Backoff(replica, n.Backoff, now) {
		e.tel.Metrics.Count("replica_rests", 1)
		e.tel.Log.Info("replica asked for a backoff", "replica", replica, "rest_ms", n.Backoff.Milliseconds())
	}
	switch {
	case n.HasRateLimit:
		if s.replicas.Get(replica) != nil && s.rateLimits.AnswerWithLimit(replica, n.RateLimit, now) {
			e.logRateLimit(replica, "its answer", now)
		}
	case complete && !n.Malformed && s.rateLimits.AnswerWithoutLimit(replica, sent):
		e.endRateLimit(replica, "its answer")
	}
}

// logRateLimit logs a replica's rate limit. The caller holds the state's lock.
func (e *Entry) logRateLimit(replica, by string, now time.Duration) {
	limit, _ := e.state.rateLimits.State(replica, now)
	e.tel.Metrics.Count("replica_rate_limits_named", 1)
	e.tel.Log.Info("replica's rate limit changed", "replica", replica, "rate_limit", limit.Rate, "rate_part", limit.Share,
		"among", limit.Sharers, "by", by)
}

// endRateLimit logs the end of a replica's rate limit and signals that the replica may be usable.
// The caller holds the state's lock.
func (e *Entry) endRateLimit(replica, by string) {
	e.tel.Log.Info("replica's rate limit is over", "replica", replica, "by", by)
	e.state.notifyChanged()
}

// sendNotices sends peers what replicas announced to this entry: an entry that sends no requests to a
// replica gets no answers from it.
func (e *Entry) sendNotices() {
	s := e.state
	s.mu.Lock()
	var notices peermessage.Notices
	for _, l := range s.rateLimits.DueUpdates(e.clock.now()) {
		notices = append(notices, peermessage.Notice{Replica: l.Replica, Rate: l.Rate, Lifted: l.Lifted})
	}
	for replica, times := range s.leavingToSend {
		notices = append(notices, peermessage.Notice{Replica: replica, Leaving: true})
		if s.leavingToSend[replica] = times - 1; times <= 1 {
			delete(s.leavingToSend, replica)
		}
	}
	s.mu.Unlock()
	for chunk := range slices.Chunk(notices, maxMessageNotices) {
		e.peers.broadcast(chunk)
	}
}

// receiveNotices applies what replicas announced to another entry.
func (e *Entry) receiveNotices(notices []peermessage.Notice, from string) {
	now := e.clock.now()
	s := e.state
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range notices {
		if s.replicas.Get(n.Replica) == nil {
			continue
		}
		switch {
		case n.Leaving:
			if s.replicas.MarkLeaving(n.Replica) {
				e.tel.Log.Info("replica is leaving", "replica", n.Replica, "by", from)
			}
		case !s.rateLimits.UpdateReceived(ratelimit.Update{Replica: n.Replica, Rate: n.Rate, Lifted: n.Lifted}, now):
		case n.Lifted:
			e.endRateLimit(n.Replica, from)
		default:
			e.logRateLimit(n.Replica, from, now)
		}
	}
}

// setRateLimitEntries sets the entries among which replicas' rate limits are divided. self says that
// the list contains this entry, known that it did when it was first read.
func (e *Entry) setRateLimitEntries(entries []string, self, known bool) {
	now := e.clock.now()
	s := e.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimits.SetEntries(entries, now)
	if self {
		s.rateLimits.Joined(known, now)
	}
}

// rateLimitEntriesConfirmed sets the time as of which the list of entries is known.
func (e *Entry) rateLimitEntriesConfirmed(asOf time.Duration) {
	s := e.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimits.ListConfirmed(asOf, e.clock.now())
}
