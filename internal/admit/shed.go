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

// overQuota refuses an item of an organisation that has its bound here already.
func (c *Core) overQuota(e *entry) *Refuse {
	o := e.org
	limit := e.item.MaxInFlight
	if limit > 0 && o.running+len(o.queue) >= limit {
		r := c.refusal(e, protocol.CodeOverloaded, "organisation is at its bound of requests in flight")
		return &r
	}
	if len(o.queue) >= c.params.queueShare() {
		r := c.refusal(e, protocol.CodeOverloaded, "organisation has its share of the queue")
		return &r
	}
	return nil
}

// shed refuses e if it can't be served in time, and makes room when the queue is
// full. Serving what its caller no longer waits for is what makes goodput fall
// past saturation, so such a request is refused now, while its caller can still
// go elsewhere.
func (c *Core) shed(now time.Duration, e *entry, actions []Action) []Action {
	wait := c.expectedWait(e)
	if own := c.ownWait(now, e); own > c.params.FirstTokenTarget/2 {
		c.drop(e)
		return append(actions, Refuse{e.item.ID, protocol.CodeOverloaded, clampRetryAfter(own), reasonStanding})
	}
	if now+wait+c.backlog(now) > e.latestStart {
		c.drop(e)
		return append(actions, c.refusal(e, protocol.CodeDeadline, "the queue is longer than its deadline"))
	}
	if wait > c.params.MaxWait {
		c.drop(e)
		return append(actions, c.refusal(e, protocol.CodeOverloaded, "the queue is longer than the longest wait"))
	}
	if c.queue.length <= c.params.MaxQueue {
		return actions
	}
	victim := c.victim()
	c.drop(victim)
	return append(actions, c.refusal(victim, protocol.CodeOverloaded, "the queue is full; its organisation has most waiting"))
}

const (
	// standingAge is how long an organisation must have had a queue, without a pause
	// of standingPause, for it to be a standing backlog rather than a burst. At a
	// second, callers were refused who came together after links had been cut, though
	// all of them would have been served within their deadlines.
	standingAge   = 3 * time.Second
	standingPause = time.Second
)

// reasonStanding is of requests refused for their own organisation's backlog.
const reasonStanding = "its organisation's backlog is too long for the first-token target"

// ownWait is the expected time to first token of e behind a standing backlog of its
// own organisation, by the pace at which that starts; 0 without one.
//
// However long a standing queue is, as many of its requests are answered. Past
// saturation it would grow to what the callers' deadlines allow, and every answer
// would come late; one would see goodput fall and waits close to the deadlines. So
// it is kept to half of the target: the rest is for the estimate's error and for the
// engine. A burst may wait for longer. So may an organisation that has nothing of
// its own before it, since what it would wait for is others' backlogs.
func (c *Core) ownWait(now time.Duration, e *entry) time.Duration {
	o := e.org
	ahead := slices.Index(o.queue, e)
	if ahead == 0 || now-o.waitingSince < standingAge {
		return 0
	}
	o.pace.advance(now, true)
	start := duration(float64(ahead+1) / max(minPace, o.pace.mean()))
	return start + c.backlog(now) + duration(c.params.prefill(e.item.UncachedTokens))
}

// serviceMargin is how many standard deviations over the mean an output may be
// for an item still to make its deadline. Past saturation every item starts about
// as late as it may; with no margin, half of them would end too late and their
// work would be for nothing.
const serviceMargin = 2

// latestStart is when an item with an output of likely tokens must start. It may
// always wait for half of its time: the length is an estimate, and one that is
// much too long would otherwise refuse all that could correct it.
func (c *Core) latestStart(now time.Duration, e *entry, likely float64) time.Duration {
	deadline := e.item.Deadline
	if deadline <= 0 {
		return math.MaxInt64
	}
	prefill := duration(c.params.prefill(e.item.UncachedTokens))
	service := prefill
	if e.org.output.known() {
		service += duration(likely * ms(c.params.DecodeTokenTime))
	}
	return deadline - max(prefill, min(service, (deadline-now)/2))
}

// victim is the least urgent item of the organisation with most work waiting for
// its weight.
func (c *Core) victim() *entry {
	largest := c.queue.waiting[0]
	for _, o := range c.queue.waiting[1:] {
		if o.queued/o.weight > largest.queued/largest.weight {
			largest = o
		}
	}
	return largest.queue[len(largest.queue)-1]
}

// expectedWait is how long a waiting item will wait: the work before it in its
// own organisation's queue, and what the others get in the meantime.
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
	return duration(ahead / c.speed.rate())
}

func (c *Core) refusal(e *entry, code protocol.Code, reason string) Refuse {
	return Refuse{e.item.ID, code, c.retryAfter(), reason}
}

// retryAfter is the time in which the present queue drains.
func (c *Core) retryAfter() time.Duration {
	return clampRetryAfter(duration(c.queue.cost / c.speed.rate()))
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, d))
}

// late returns the waiting entries that are too late to start.
func (c *Core) late(now time.Duration) []*entry {
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

// speed measures how much is done each millisecond while requests wait for it: work
// of the engine in milliseconds of its time, or starts of one organisation.
type speed struct {
	memory float64 // ms, speedMemory if 0
	done   float64
	spent  float64 // ms
	at     time.Duration
	busy   bool
}

const (
	// speedMemory is how much waiting time the measurement looks back on, in
	// milliseconds; speedPrior is the weight of the starting guess.
	speedMemory = 10000
	speedPrior  = 1000
	// paceMemory is the same for one organisation.
	paceMemory = 2000
	// minPace is a start in ten seconds.
	minPace = 0.0001
)

func newSpeed(guess float64) speed {
	return speed{done: guess * speedPrior, spent: speedPrior}
}

// advance accounts the time since the last event.
func (s *speed) advance(now time.Duration, busy bool) {
	if s.busy && now > s.at {
		elapsed := ms(now - s.at)
		keep := math.Exp(-elapsed / cmp.Or(s.memory, speedMemory))
		s.done *= keep
		s.spent = s.spent*keep + elapsed
	}
	s.at = max(s.at, now)
	s.busy = busy
}

func (s *speed) finished(cost float64) {
	if s.busy {
		s.done += cost
	}
}

// minSpeed keeps estimates finite while an engine stands still.
const minSpeed = 0.05

func (s *speed) rate() float64 { return max(minSpeed, s.mean()) }

func (s *speed) mean() float64 { return s.done / max(1, s.spent) }
