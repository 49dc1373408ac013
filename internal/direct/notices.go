package direct

import (
	"slices"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/ratelimit"
)

// maxWordLimits bounds the rate limits in a word, with names of replicas of some 50 bytes.
const maxWordLimits = 20

// wordLimit is a ratelimit.Word.
type wordLimit struct {
	Replica string  `cbor:"1,keyasint"`
	Rate    float64 `cbor:"2,keyasint,omitempty"`
	Lifted  bool    `cbor:"3,keyasint,omitempty"`
}

// noteNotice takes what a replica says of itself in the head of an answer.
func (j *job) noteNotice(p *placed, head *fleet.Answer) {
	j.hands[len(j.hands)-1].notice = head.Notice
	if head.Instance != "" && head.Instance != p.replica.Name {
		return // another replica has the address
	}
	j.entry.noticed(p.replica.ID, &head.Notice, p.at, head.Sealed || head.NotRun && !head.Misdirected)
}

// noticed takes what a replica says of itself in an answer to what was sent at a time. whole says
// that the answer is to a caller's request: only from those does it follow that what they don't
// say doesn't hold.
func (e *Entry) noticed(replica string, n *fleet.Notice, sent time.Duration, whole bool) {
	if n.Malformed {
		e.tel.Metrics.Count("replica_notices_malformed", 1)
	}
	now := e.clock.now()
	s := e.state
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case n.Limited:
		if s.replicas.Get(replica) != nil && s.limits.Named(replica, n.Rate, now) {
			e.limitNamed(replica, "its answer", now)
		}
	case whole && !n.Malformed && s.limits.Unnamed(replica, sent):
		e.limitLifted(replica, "its answer")
	}
}

// limitNamed logs a replica's rate limit. The caller holds the state's lock.
func (e *Entry) limitNamed(replica, by string, now time.Duration) {
	limit, _ := e.state.limits.State(replica, now)
	e.tel.Metrics.Count("replica_rate_limits_named", 1)
	e.tel.Log.Info("replica's rate limit", "replica", replica, "rate_limit", limit.Rate, "rate_part", limit.Part,
		"among", limit.Among, "by", by)
}

// limitLifted logs the end of a rate limit. The caller holds the state's lock.
func (e *Entry) limitLifted(replica, by string) {
	e.tel.Log.Info("replica's rate limit is over", "replica", replica, "by", by)
	e.state.signal()
}

// tellLimits tells the others of replicas' rate limits, for those that send nothing to these
// replicas and so get no answer.
func (e *Entry) tellLimits() {
	s := e.state
	s.mu.Lock()
	words := s.limits.Words(e.clock.now())
	s.mu.Unlock()
	for part := range slices.Chunk(words, maxWordLimits) {
		w := &word{From: e.settings.ID, Epoch: uint64(e.tel.Epoch)}
		for _, l := range part {
			w.Limits = append(w.Limits, wordLimit(l))
		}
		e.peers.send(w)
	}
}

// heardLimits takes what another entry tells of replicas' rate limits.
func (e *Entry) heardLimits(words []wordLimit, from string) {
	now := e.clock.now()
	s := e.state
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range words {
		if s.replicas.Get(w.Replica) == nil || !s.limits.Heard(ratelimit.Word(w), now) {
			continue
		}
		if w.Lifted {
			e.limitLifted(w.Replica, from)
		} else {
			e.limitNamed(w.Replica, from, now)
		}
	}
}

// limitsListed takes the list of entries, among which replicas' rate limits are divided. self says
// that it has this one, known that it had when it was read first.
func (e *Entry) limitsListed(entries []string, self, known bool) {
	now := e.clock.now()
	s := e.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Listed(entries, now)
	if self {
		s.limits.Joined(known, now)
	}
}

// limitsConfirmed says as of when the list of entries is known.
func (e *Entry) limitsConfirmed(asOf time.Duration) {
	s := e.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Confirmed(asOf, e.clock.now())
}
