package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"skylarklead/internal/protocol"
)

// Bounds of Retry-After.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// overLimit refuses an item whose organisation has reached a limit at this endpoint.
func (c *Core) overLimit(e *entry) *Refuse {
	o := e.org
	limit := e.item.MaxInFlight
	if limit > 0 && o.running+len(o.queue) >= limit {
		r := c.refusal(e, protocol.CodeOverloaded, "organisation is at its limit of requests in flight")
		return &r
	}
	if len(o.queue) >= c.params.maxQueuedPerOrganisation() {
		r := c.refusal(e, protocol.CodeOverloaded, "organisation has used up its share of the queue")
		return &r
	}
	return nil
}

// shed refuses e if it can't be served in time, and makes room if the queue is full.
// Past saturation, goodput falls because of work for callers that no longer wait. So
// such a request is refused on arrival, while its caller can still go elsewhere.
func (c *Core) shed(now time.Duration, e *entry, actions []Action) []Action {
	wait := c.expectedWait(e)
	if own := c.ownBacklogWait(now, e); own > c.params.FirstTokenTarget/2 {
		c.dequeue(e)
		return append(actions, Refuse{e.item.ID, protocol.CodeOverloaded, clampRetryAfter(own), reasonStandingBacklog})
	}
	if now+wait+c.prefillBacklog(now) > e.latestStart {
		c.dequeue(e)
		return append(actions, c.refusal(e, protocol.CodeDeadline, "expected queue wait exceeds the deadline"))
	}
	if wait > c.params.MaxWait {
		c.dequeue(e)
		return append(actions, c.refusal(e, protocol.CodeOverloaded, "expected queue wait exceeds the maximum wait"))
	}
	if c.queue.length <= c.params.MaxQueue {
		return actions
	}
	victim := c.victim()
	c.dequeue(victim)
	return append(actions, c.refusal(victim, protocol.CodeOverloaded, "the queue is full, and its organisation has the most work waiting"))
}

const (
	// standingBacklogAge is how long an organisation must have had a queue, without a
	// pause of standingBacklogPause, for it to count as a standing backlog instead of
	// a burst. With one second, callers that arrived together after a network
	// partition were refused, although all of them would have been served within their
	// deadlines.
	standingBacklogAge   = 3 * time.Second
	standingBacklogPause = time.Second
)

// reasonStandingBacklog is the reason of requests refused for their own organisation's
// backlog.
const reasonStandingBacklog = "its organisation's backlog is too long for the first-token target"

// ownBacklogWait is the expected time to first token of e behind a standing backlog of
// its own organisation, at the rate at which that backlog starts; 0 without one.
//
// The length of a standing queue doesn't change how many of its requests are answered.
// Past saturation it would grow to what the callers' deadlines allow, and every answer
// would be late; this shows as falling goodput and waits close to the deadlines. So
// the wait is limited to half of the target; the rest is for the estimate's error and
// for the engine. A burst may wait for longer. So may an item with no others of its
// organisation before it, since it would wait for the backlogs of others.
func (c *Core) ownBacklogWait(now time.Duration, e *entry) time.Duration {
	o := e.org
	ahead := slices.Index(o.queue, e)
	if ahead == 0 || now-o.backloggedSince < standingBacklogAge {
		return 0
	}
	o.startRate.advance(now, true)
	start := duration(float64(ahead+1) / max(minStartRate, o.startRate.mean()))
	return start + c.prefillBacklog(now) + duration(c.params.prefillMs(e.item.UncachedTokens))
}

// serviceMargin is how many standard deviations above the mean an item's output may be
// for the item still to meet its deadline. Past saturation every item starts about as
// late as it may; without a margin half of them would end too late, and their work
// would be wasted.
const serviceMargin = 2

// latestStart is when an item with an expected output of likely tokens has to start.
// It may always wait for half of its time: the length is an estimate, and one that is
// much too long would otherwise refuse all items that could correct it.
func (c *Core) latestStart(now time.Duration, e *entry, likely float64) time.Duration {
	deadline := e.item.Deadline
	if deadline <= 0 {
		return math.MaxInt64
	}
	prefill := duration(c.params.prefillMs(e.item.UncachedTokens))
	service := prefill
	if e.org.outputLength.known() {
		service += duration(likely * ms(c.params.DecodeTokenTime))
	}
	return deadline - max(prefill, min(service, (deadline-now)/2))
}

// victim is the least urgent item of the organisation with the most waiting work
// relative to its weight.
func (c *Core) victim() *entry {
	largest := c.queue.waiting[0]
	for _, o := range c.queue.waiting[1:] {
		if o.queued/o.weight > largest.queued/largest.weight {
			largest = o
		}
	}
	return largest.queue[len(largest.queue)-1]
}

// expectedWait is how long an item is expected to wait: for the work before it in its
// own organisation's queue, and for what other organisations get in the meantime.
func (c *Core) expectedWait(e *entry) time.Duration {
	own := 0.0
	for _, other := range e.org.queue {
		if other == e {
			break
		}
		own += other.cost
	}
	ahead := own
	for _, o := range c.queue.waiting {
		if o != e.org {
			ahead += min(o.queued, max(own, e.cost)*o.weight/e.org.weight)
		}
	}
	return duration(ahead / c.throughput.rate())
}

func (c *Core) refusal(e *entry, code protocol.Code, reason string) Refuse {
	return Refuse{e.item.ID, code, c.retryAfter(), reason}
}

// retryAfter is the time in which the current queue drains.
func (c *Core) retryAfter() time.Duration {
	return clampRetryAfter(duration(c.queue.cost / c.throughput.rate()))
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, d))
}

// lateEntries returns the waiting entries that are too late to start.
func (c *Core) lateEntries(now time.Duration) []*entry {
	var late []*entry
	for _, o := range c.queue.waiting {
		for _, e := range o.queue {
			if now > e.latestStart {
				late = append(late, e)
			}
		}
	}
	return late
}

// rateEstimate measures how much is done per millisecond while requests wait for it:
// the engine's work in milliseconds of engine time, or the starts of one organisation.
type rateEstimate struct {
	window    float64 // ms, throughputWindow if 0
	completed float64
	elapsed   float64 // ms
	updatedAt time.Duration
	busy      bool
}

const (
	// throughputWindow is the time constant of the throughput estimate, in
	// milliseconds of busy time. priorWeight is the weight of the initial guess, in
	// the same unit.
	throughputWindow = 10000
	priorWeight      = 1000
	// startRateWindow is the time constant for the starts of one organisation.
	startRateWindow = 2000
	// minStartRate, in starts per millisecond, is one start in ten seconds.
	minStartRate = 0.0001
)

func newRateEstimate(guess float64) rateEstimate {
	return rateEstimate{completed: guess * priorWeight, elapsed: priorWeight}
}

// advance accounts for the time since the last event.
func (r *rateEstimate) advance(now time.Duration, busy bool) {
	if r.busy && now > r.updatedAt {
		elapsed := ms(now - r.updatedAt)
		keep := math.Exp(-elapsed / cmp.Or(r.window, throughputWindow))
		r.completed *= keep
		r.elapsed = r.elapsed*keep + elapsed
	}
	r.updatedAt = max(r.updatedAt, now)
	r.busy = busy
}

func (r *rateEstimate) add(cost float64) {
	if r.busy {
		r.completed += cost
	}
}

// minThroughput keeps estimates finite while an engine makes no progress.
const minThroughput = 0.05

func (r *rateEstimate) rate() float64 { return max(minThroughput, r.mean()) }

func (r *rateEstimate) mean() float64 { return r.completed / max(1, r.elapsed) }
