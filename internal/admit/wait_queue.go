package admit

import (
	"slices"
	"time"
)

// QueuedRequest is a request that waits at an entry for capacity at any replica.
type QueuedRequest struct {
	Organisation string
	// Priority ranks requests; 0 is first.
	Priority int
	// Work is the expected engine time in milliseconds.
	Work float64
	// Arrived is when the caller sent the request. LatestStart is the latest start
	// with which it still meets its objective, ExpiresAt the time from which waiting
	// is pointless.
	Arrived, LatestStart, ExpiresAt time.Duration
	// Value is for the caller's own use.
	Value any

	seq     uint64
	waiting bool
}

// lateLoadFraction is the fraction of the load bound up to which requests that have
// already missed their objective may be placed: an almost idle replica.
//
// An entry's view of a replica's load is some ten milliseconds old, and too low. After
// a burst, late requests placed one after another up to the bound would keep the load
// there, and those that arrive in time would become late behind them.
const lateLoadFraction = 0.1

// Late reports whether a request can't meet its objective any more.
func (r *QueuedRequest) Late(now time.Duration) bool { return now > r.LatestStart }

// slack is how much of the time is left for which a request may wait and still be in time.
//
// Under overload, first come first served would start every request when it is about to be late,
// and the wait at the replica would make it late.
type slack uint8

const (
	slackNone slack = iota // late
	slackLittle
	slackAmple
)

// ampleSlackFraction is the fraction of that time from which on it is ample.
const ampleSlackFraction = 0.5

func (r *QueuedRequest) slackLeft(now time.Duration) slack {
	switch {
	case r.Late(now):
		return slackNone
	case float64(r.LatestStart-now) < ampleSlackFraction*float64(r.LatestStart-r.Arrived):
		return slackLittle
	}
	return slackAmple
}

// LoadBound is the replica load up to which the request may be placed now; bound is
// the one for requests that can still be in time.
func (r *QueuedRequest) LoadBound(now time.Duration, bound float64) float64 {
	if r.Late(now) {
		return lateLoadFraction * bound
	}
	return min(bound, float64(r.LatestStart-now)/float64(time.Millisecond))
}

// WaitQueue orders the requests that wait at an entry.
//
// Under a load that exceeds the capacity of the replicas, first come, first served
// makes every request wait until it is late: the queue grows to the callers'
// deadlines, and no answer is in time although the engines are saturated. So requests go by
// priority, and among those of one priority the ones that can still be in time go first; late
// ones get the remaining capacity. Among requests of equal rank the organisation with the
// smallest amount of recently dispatched work goes first, so that a large organisation's backlog
// waits behind a small one's single request.
type WaitQueue struct {
	requests   []*QueuedRequest
	seq        uint64
	dispatched map[string]*dispatchedWork
	halfLife   time.Duration
}

// dispatchedWork is an organisation's recently dispatched work, in milliseconds,
// decayed as of at.
type dispatchedWork struct {
	work float64
	at   time.Duration
}

// workHalfLife is the half-life of an organisation's dispatched work: a few seconds,
// the length of a burst.
const workHalfLife = 3 * time.Second

// maxTracked bounds the organisations whose dispatched work is tracked. Organisations
// dropped from tracking count as having been given none.
const maxTracked = 4096

// NewWaitQueue returns an empty queue.
func NewWaitQueue() *WaitQueue {
	return &WaitQueue{dispatched: make(map[string]*dispatchedWork), halfLife: workHalfLife}
}

// Len is the number of waiting requests.
func (q *WaitQueue) Len() int { return len(q.requests) }

// Work is the expected engine time of all waiting requests, in milliseconds.
func (q *WaitQueue) Work() float64 {
	total := 0.0
	for _, r := range q.requests {
		total += r.Work
	}
	return total
}

// Add adds a request to the queue.
func (q *WaitQueue) Add(r *QueuedRequest) {
	q.seq++
	r.seq, r.waiting = q.seq, true
	q.requests = append(q.requests, r)
}

// Remove removes a request from the queue, if it is in it.
func (q *WaitQueue) Remove(r *QueuedRequest) {
	if !r.waiting {
		return
	}
	r.waiting = false
	i := slices.Index(q.requests, r)
	q.requests = slices.Delete(q.requests, i, i+1)
}

// Next returns the request to dispatch next, nil if none waits. It stays in the queue.
func (q *WaitQueue) Next(now time.Duration) *QueuedRequest {
	var best *QueuedRequest
	for _, r := range q.requests {
		if best == nil || q.before(now, r, best) {
			best = r
		}
	}
	return best
}

// Ordered returns the waiting requests, the one to dispatch next first.
func (q *WaitQueue) Ordered(now time.Duration) []*QueuedRequest {
	ordered := slices.Clone(q.requests)
	slices.SortFunc(ordered, func(a, b *QueuedRequest) int {
		if q.before(now, a, b) {
			return -1
		}
		return 1
	})
	return ordered
}

func (q *WaitQueue) before(now time.Duration, a, b *QueuedRequest) bool {
	slackA, slackB := a.slackLeft(now), b.slackLeft(now)
	switch {
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	case slackA != slackB:
		return slackA > slackB
	case a.Organisation != b.Organisation:
		return q.recentWork(a.Organisation, now) < q.recentWork(b.Organisation, now)
	}
	return a.seq < b.seq
}

// Trim removes and returns the requests beyond the first n, the last one first.
func (q *WaitQueue) Trim(n int, now time.Duration) []*QueuedRequest {
	var removed []*QueuedRequest
	for len(q.requests) > max(n, 0) {
		last := q.requests[0]
		for _, r := range q.requests[1:] {
			if q.before(now, last, r) {
				last = r
			}
		}
		q.Remove(last)
		removed = append(removed, last)
	}
	return removed
}

// Backlog describes the waiting requests of one priority.
type Backlog struct {
	Count int
	// LastExpiry is the time from which waiting is pointless for all of them.
	LastExpiry time.Duration
}

// Backlogs returns the backlog of each priority that has one.
func (q *WaitQueue) Backlogs() map[int]Backlog {
	backlogs := make(map[int]Backlog)
	for _, r := range q.requests {
		b := backlogs[r.Priority]
		backlogs[r.Priority] = Backlog{b.Count + 1, max(b.LastExpiry, r.ExpiresAt)}
	}
	return backlogs
}

// TrimPriority removes and returns the requests of a priority beyond the first n of it, the last one
// first.
func (q *WaitQueue) TrimPriority(priority, n int, now time.Duration) []*QueuedRequest {
	var removed []*QueuedRequest
	for excess := q.Backlogs()[priority].Count - max(n, 0); excess > 0; excess-- {
		var last *QueuedRequest
		for _, r := range q.requests {
			if r.Priority == priority && (last == nil || q.before(now, last, r)) {
				last = r
			}
		}
		q.Remove(last)
		removed = append(removed, last)
	}
	return removed
}

// RecordDispatch records that an organisation's work goes to a replica.
func (q *WaitQueue) RecordDispatch(organisation string, work float64, now time.Duration) {
	u := q.dispatched[organisation]
	if u == nil {
		if len(q.dispatched) >= maxTracked {
			clear(q.dispatched)
		}
		u = &dispatchedWork{}
		q.dispatched[organisation] = u
	}
	u.work = u.decayed(now, q.halfLife) + work
	u.at = now
}

func (q *WaitQueue) recentWork(organisation string, now time.Duration) float64 {
	if u := q.dispatched[organisation]; u != nil {
		return u.decayed(now, q.halfLife)
	}
	return 0
}

func (w *dispatchedWork) decayed(now, halfLife time.Duration) float64 {
	return w.work * decayFactor(now-w.at, halfLife)
}

// expired reports whether waiting is pointless for the request.
func (r *QueuedRequest) expired(now time.Duration) bool { return now >= r.ExpiresAt }

// HasExpired reports whether waiting is pointless for one of the requests.
func (q *WaitQueue) HasExpired(now time.Duration) bool {
	return slices.ContainsFunc(q.requests, func(r *QueuedRequest) bool { return r.expired(now) })
}

// RemoveExpired removes and returns the requests for which waiting is pointless.
func (q *WaitQueue) RemoveExpired(now time.Duration) []*QueuedRequest {
	return q.RemoveMatching(func(r *QueuedRequest) bool { return r.expired(now) })
}

// RemoveMatching removes and returns the requests for which match returns true.
func (q *WaitQueue) RemoveMatching(match func(*QueuedRequest) bool) []*QueuedRequest {
	var matched []*QueuedRequest
	for _, r := range q.requests {
		if match(r) {
			matched = append(matched, r)
		}
	}
	for _, r := range matched {
		q.Remove(r)
	}
	return matched
}
