package admit

import (
	"slices"
	"time"
)

// QueuedRequest is a request that waits at an entry for a place at any replica.
type QueuedRequest struct {
	Organisation string
	// Priority ranks requests, 0 first.
	Priority int
	// Work is what it asks of an engine, in milliseconds.
	Work float64
	// Arrived is when its caller sent it. LatestStart is the latest start with which it
	// still meets its objective, ExpiresAt the time from which waiting is pointless.
	Arrived, LatestStart, ExpiresAt time.Duration
	// Value is the caller's own.
	Value any

	seq     uint64
	waiting bool
}

// lateShare is the part of the load behind which requests that can be in time may be
// placed that those may be which can't any more: a replica that is all but idle.
//
// What entries believe of a replica's load is some ten milliseconds old, and low. After a burst
// the late ones, one behind the other up to the bound, keep it there, and those that come
// in time are late behind them.
const lateShare = 0.1

// Late reports whether a request can't meet its objective any more.
func (t *QueuedRequest) Late(now time.Duration) bool { return now > t.LatestStart }

// LoadBound is the load behind which a request may be placed now, of the bound for those that
// can be in time.
func (t *QueuedRequest) LoadBound(now time.Duration, bound float64) float64 {
	if t.Late(now) {
		return lateShare * bound
	}
	return bound
}

// WaitQueue orders the requests that wait at an entry.
//
// Under a load that exceeds what replicas can do, first come first served has every
// request wait until it is late: the queue grows to the callers' deadlines, and
// nobody gets an answer in time although the engines work at their limit. So those
// that can still be in time go first, by priority; those that can't any more get
// what is left over. Within a rank the organisation that was given least goes
// first, so that a large one's backlog is behind a small one's only request.
type WaitQueue struct {
	tickets []*QueuedRequest
	seq     uint64
	given   map[string]*usage
	forget  time.Duration
}

// usage is what an organisation was given lately, in milliseconds of work.
type usage struct {
	work float64
	at   time.Duration
}

// usageHalfLife is how fast what an organisation was given is forgotten: some
// seconds, the length of a burst.
const usageHalfLife = 3 * time.Second

// maxUsages bounds the organisations remembered. Those forgotten count as having
// been given nothing.
const maxUsages = 4096

// NewWaitQueue returns an empty line.
func NewWaitQueue() *WaitQueue {
	return &WaitQueue{given: make(map[string]*usage), forget: usageHalfLife}
}

// Len is the number of waiting tickets.
func (l *WaitQueue) Len() int { return len(l.tickets) }

// Work is what all that waits asks of the engines, in milliseconds.
func (l *WaitQueue) Work() float64 {
	total := 0.0
	for _, t := range l.tickets {
		total += t.Work
	}
	return total
}

// Add puts a ticket in the line.
func (l *WaitQueue) Add(t *QueuedRequest) {
	l.seq++
	t.seq, t.waiting = l.seq, true
	l.tickets = append(l.tickets, t)
}

// Remove takes a ticket out of the line, if it is in it.
func (l *WaitQueue) Remove(t *QueuedRequest) {
	if !t.waiting {
		return
	}
	t.waiting = false
	i := slices.Index(l.tickets, t)
	l.tickets = slices.Delete(l.tickets, i, i+1)
}

// Next returns the ticket whose turn it is, nil if none waits. It stays in the line.
func (l *WaitQueue) Next(now time.Duration) *QueuedRequest {
	var best *QueuedRequest
	for _, t := range l.tickets {
		if best == nil || l.before(now, t, best) {
			best = t
		}
	}
	return best
}

func (l *WaitQueue) before(now time.Duration, a, b *QueuedRequest) bool {
	lateA, lateB := a.Late(now), b.Late(now)
	switch {
	case lateA != lateB:
		return lateB
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case a.Organisation != b.Organisation:
		return l.used(a.Organisation, now) < l.used(b.Organisation, now)
	}
	return a.seq < b.seq
}

// Trim takes out of the line and returns the tickets beyond the first n, the last one first.
func (l *WaitQueue) Trim(n int, now time.Duration) []*QueuedRequest {
	var gone []*QueuedRequest
	for len(l.tickets) > max(n, 0) {
		last := l.tickets[0]
		for _, t := range l.tickets[1:] {
			if l.before(now, last, t) {
				last = t
			}
		}
		l.Remove(last)
		gone = append(gone, last)
	}
	return gone
}

// RecordDispatch notes that an organisation's work goes to a replica.
func (l *WaitQueue) RecordDispatch(organisation string, work float64, now time.Duration) {
	u := l.given[organisation]
	if u == nil {
		if len(l.given) >= maxUsages {
			clear(l.given)
		}
		u = &usage{}
		l.given[organisation] = u
	}
	u.work = u.decayed(now, l.forget) + work
	u.at = now
}

func (l *WaitQueue) used(organisation string, now time.Duration) float64 {
	if u := l.given[organisation]; u != nil {
		return u.decayed(now, l.forget)
	}
	return 0
}

func (u *usage) decayed(now, halfLife time.Duration) float64 {
	return u.work * halves(now-u.at, halfLife)
}

// RemoveExpired takes out of the line and returns the tickets for which waiting is
// pointless.
func (l *WaitQueue) RemoveExpired(now time.Duration) []*QueuedRequest {
	return l.RemoveMatching(func(t *QueuedRequest) bool { return now >= t.ExpiresAt })
}

// RemoveMatching takes out of the line and returns the tickets that match.
func (l *WaitQueue) RemoveMatching(match func(*QueuedRequest) bool) []*QueuedRequest {
	var taken []*QueuedRequest
	for _, t := range l.tickets {
		if match(t) {
			taken = append(taken, t)
		}
	}
	for _, t := range taken {
		l.Remove(t)
	}
	return taken
}
