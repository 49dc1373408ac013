package direct

import (
	"slices"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/ratelimit"
)

const (
	// maxWordNotices bounds the notices in a word, with names of replicas of some 50 bytes.
	maxWordNotices = 20
	// leavingTold is how often it is told that a replica leaves: a datagram may be lost.
	leavingTold = 2
)

// noticeMessage is what a replica has said of itself to another entry: that it leaves, or else a
// ratelimit.Word.
type noticeMessage struct {
	Replica string  `cbor:"1,keyasint"`
	Rate    float64 `cbor:"2,keyasint,omitempty"`
	Lifted  bool    `cbor:"3,keyasint,omitempty"`
	Leaving bool    `cbor:"4,keyasint,omitempty"`
}

// noteNotice takes what a replica says of itself in the head of an answer.
func (j *request) noteNotice(p *placement, head *fleet.Answer) {
	j.hands[len(j.hands)-1].notice = head.Notice
	if head.Instance != "" && head.Instance != p.replica.Name {
		return // another replica has the address
	}
	j.entry.applyNotice(p.replica.ID, &head.Notice, p.at, head.Sealed || head.NotRun && !head.Misdirected)
}

// applyNotice takes what a replica says of itself in an answer to what was sent at a time. whole says
// that the answer is to a caller's request: only from those does it follow that what they don't
// say doesn't hold.
func (e *Entry) applyNotice(replica string, n *fleet.Notice, sent time.Duration, whole bool) {
	if n.Malformed {
		e.tel.Metrics.Count("replica_notices_malformed", 1)
	}
	now := e.clock.now()
	s := e.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Leaving && s.replicas.MarkLeaving(replica) {
		s.leavingNews[replica] = leavingTold
		e.tel.Log.Info("replica is leaving", "replica", replica, "by", "its answer")
	}
	if n.Backoff > 0 && s.replicas.Backoff(replica, n.Backoff, now) {
		e.tel.Metrics.Count("replica_rests", 1)
		e.tel.Log.Info("replica rests", "replica", replica, "rest_ms", n.Backoff.Milliseconds())
	}
	switch {
	case n.HasRateLimit:
		if s.replicas.Get(replica) != nil && s.rateLimits.AnswerWithLimit(replica, n.RateLimit, now) {
			e.limitNamed(replica, "its answer", now)
		}
	case whole && !n.Malformed && s.rateLimits.AnswerWithoutLimit(replica, sent):
		e.limitLifted(replica, "its answer")
	}
}

// limitNamed logs a replica's rate limit. The caller holds the state's lock.
func (e *Entry) limitNamed(replica, by string, now time.Duration) {
	limit, _ := e.state.rateLimits.State(replica, now)
	e.tel.Metrics.Count("replica_rate_limits_named", 1)
	e.tel.Log.Info("replica's rate limit", "replica", replica, "rate_limit", limit.Rate, "rate_part", limit.Share,
		"among", limit.Sharers, "by", by)
}

// limitLifted logs the end of a rate limit. The caller holds the state's lock.
func (e *Entry) limitLifted(replica, by string) {
	e.tel.Log.Info("replica's rate limit is over", "replica", replica, "by", by)
	e.state.notifyChanged()
}

// sendNotices tells the others what replicas have said of themselves: an entry that sends nothing
// to a replica gets no answer of it.
func (e *Entry) sendNotices() {
	s := e.state
	s.mu.Lock()
	var notices []noticeMessage
	for _, l := range s.rateLimits.DueUpdates(e.clock.now()) {
		notices = append(notices, noticeMessage{Replica: l.Replica, Rate: l.Rate, Lifted: l.Lifted})
	}
	for replica, times := range s.leavingNews {
		notices = append(notices, noticeMessage{Replica: replica, Leaving: true})
		if s.leavingNews[replica] = times - 1; times <= 1 {
			delete(s.leavingNews, replica)
		}
	}
	s.mu.Unlock()
	for part := range slices.Chunk(notices, maxWordNotices) {
		e.peers.broadcast(&peerMessage{From: e.settings.ID, Epoch: uint64(e.tel.Epoch), Notices: part})
	}
}

// receiveNotices takes what replicas have said of themselves to another entry.
func (e *Entry) receiveNotices(notices []noticeMessage, from string) {
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
			e.limitLifted(n.Replica, from)
		default:
			e.limitNamed(n.Replica, from, now)
		}
	}
}

// setRateLimitEntries takes the list of entries, among which replicas' rate limits are divided. self says
// that it has this one, known that it had when it was read first.
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

// rateLimitEntriesConfirmed says as of when the list of entries is known.
func (e *Entry) rateLimitEntriesConfirmed(asOf time.Duration) {
	s := e.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimits.ListConfirmed(asOf, e.clock.now())
}
