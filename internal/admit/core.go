package admit

import (
	"time"

	"skylarklead/internal/protocol"
)

// Reasons of a Start.
const (
	reasonFree    = "free_place"
	reasonReserve = "reserve"
	reasonAlone   = "runs_alone"
)

// maxBypass is how often an item that is due but finds no KV room may be passed
// by items of organisations that use little. Beyond it everyone waits for it:
// a stream of short requests would otherwise starve a long one for ever.
const maxBypass = 16

// Core decides for one engine.
type Core struct {
	params    Params
	queue     fairQueue
	entries   map[ID]*entry
	room      *KVRoom
	speed     speed
	output    lengths // of all organisations
	present   present
	seq       uint64
	running   int
	exclusive bool
	draining  bool
	// outstanding sums the expected output tokens of all items, uncached the
	// prompt tokens of the waiting ones.
	outstanding int
	uncached    int
	// prefillUntil is when the engine will have computed the prompts that it has
	// been given; it computes them one after another.
	prefillUntil time.Duration
}

// NewCore returns a Core with nothing waiting or running.
func NewCore(p Params) *Core {
	p = p.withDefaults()
	return &Core{
		params:  p,
		queue:   fairQueue{orgs: make(map[string]*organisation)},
		entries: make(map[ID]*entry),
		room:    NewKVRoom(p.KVTokens),
		speed:   newSpeed(float64(p.MaxRunning)),
	}
}

// Arrive takes a new item. An ID that is already here is ignored.
func (c *Core) Arrive(now time.Duration, item Item) []Action {
	if _, known := c.entries[item.ID]; known {
		return nil
	}
	if c.draining {
		return []Action{Refuse{item.ID, protocol.CodeDraining, 0, "this endpoint is leaving"}}
	}
	e := c.newEntry(now, item)
	if refusal := c.overQuota(e); refusal != nil {
		return []Action{*refusal}
	}
	c.add(e)
	actions := c.dispatch(now, nil)
	if e.running {
		return actions
	}
	return c.dispatch(now, c.shed(now, e, actions))
}

// Finish ends a running item and tells what it used.
func (c *Core) Finish(now time.Duration, id ID, actual Actual) []Action {
	e := c.entries[id]
	if e == nil || !e.running {
		return nil
	}
	c.stop(now, e)
	cost := 0.0
	if actual.Ran {
		cost = c.params.cost(actual.UncachedTokens, actual.OutputTokens)
		e.org.output.observe(actual.OutputTokens, e.item.MaxTokens)
		c.output.observe(actual.OutputTokens, e.item.MaxTokens)
		c.speed.finished(cost)
	}
	c.queue.correct(e.org, cost-e.cost)
	if c.running == 0 && c.queue.length == 0 {
		c.queue.rest()
	}
	return c.dispatch(now, nil)
}

// Cancel withdraws an item that nobody waits for. One that runs stays until
// Finish.
func (c *Core) Cancel(now time.Duration, id ID) []Action {
	e := c.entries[id]
	if e == nil || e.running {
		return nil
	}
	c.drop(e)
	return c.dispatch(now, nil)
}

// Tick refuses what can no longer make its deadline. Call it every 100 ms or so.
func (c *Core) Tick(now time.Duration) []Action {
	c.speed.advance(now, c.busy())
	var actions []Action
	for _, e := range c.late(now) {
		c.drop(e)
		actions = append(actions, c.refusal(e, protocol.CodeDeadline, "deadline passed while waiting"))
	}
	return c.dispatch(now, actions)
}

// Drain refuses all that arrives from now on. What waits still runs.
func (c *Core) Drain() { c.draining = true }

// RefuseWaiting refuses all that waits, for a drain whose time is short: the callers'
// entries place it elsewhere.
func (c *Core) RefuseWaiting() []Action {
	var actions []Action
	for len(c.queue.waiting) > 0 {
		e := c.queue.waiting[0].queue[0]
		c.drop(e)
		actions = append(actions, Refuse{e.item.ID, protocol.CodeDraining, 0, "this endpoint is leaving"})
	}
	return actions
}

// Summary is the admission's part of a load summary.
type Summary struct {
	Running int
	Queued  int
	// QueuedTokens are the prompt tokens still to be computed, of waiting items
	// and, by estimate, of running ones.
	QueuedTokens int
	// DecodeTokens are the expected output tokens of all items.
	DecodeTokens int
	Saturated    bool
	// Organisations is how many have items waiting, Heavy those of them that have
	// more than their share or a backlog of their own here.
	Organisations int
	Heavy         []string
	// OutputShare is the mean of output tokens over the most allowed, 0 if not
	// known yet.
	OutputShare float64
}

// heavy lists the waiting organisations whose next item will wait for more than
// one place: those that have more than their share, or several items waiting.
func (c *Core) heavy() []string {
	shares := c.shares(c.speed.at)
	var names []string
	for _, o := range c.queue.waiting {
		if len(names) < maxHeavy && (len(o.queue) >= backlog || !shares.light(o)) {
			names = append(names, o.name)
		}
	}
	return names
}

const (
	// maxHeavy bounds the names in a load summary.
	maxHeavy = 8
	// backlog is how many waiting items of one organisation are a backlog of its
	// own. Three that share an engine evenly are each within their share there,
	// however long their queues.
	backlog = 2
)

// Summary returns the load as of the last event.
func (c *Core) Summary() Summary {
	prefilling := c.backlog(c.speed.at).Seconds() * c.params.PrefillTokensPerSecond
	share := 0.0
	if c.output.known() {
		share = c.output.mean
	}
	return Summary{
		Heavy:         c.heavy(),
		OutputShare:   share,
		Running:       c.running,
		Queued:        c.queue.length,
		QueuedTokens:  c.uncached + int(prefilling),
		DecodeTokens:  c.outstanding,
		Saturated:     c.queue.length > 0 && c.running >= c.params.MaxRunning-c.params.reserved(),
		Organisations: len(c.queue.waiting),
	}
}

func (c *Core) newEntry(now time.Duration, item Item) *entry {
	c.seq++
	o := c.queue.organisation(&item)
	e := &entry{item: item, org: o, seq: c.seq, arrived: now}
	mean, deviation := o.output.expect(item.MaxTokens)
	e.expected = item.ExpectedTokens
	if e.expected <= 0 {
		e.expected = int(mean)
	}
	e.latestStart = c.latestStart(now, e, mean+serviceMargin*deviation)
	e.kv = demand{prompt: item.UncachedTokens, most: item.MaxTokens}
	e.cost = c.params.cost(item.UncachedTokens, e.expected)
	return e
}

func (c *Core) add(e *entry) {
	c.entries[e.item.ID] = e
	c.queue.push(e)
	c.present.update(e.org)
	c.outstanding += e.expected
	c.uncached += e.item.UncachedTokens
}

// drop forgets a waiting entry.
func (c *Core) drop(e *entry) {
	delete(c.entries, e.item.ID)
	c.queue.remove(e)
	e.org.noteQueue(c.speed.at)
	c.present.update(e.org)
	c.outstanding -= e.expected
	c.uncached -= e.item.UncachedTokens
}

// dispatch starts all that may start and appends it to actions.
func (c *Core) dispatch(now time.Duration, actions []Action) []Action {
	c.speed.advance(now, c.busy())
	for c.queue.length > 0 && c.running < c.params.MaxRunning && !c.exclusive {
		shares := c.shares(now)
		o := c.queue.next(func(o *organisation) bool { return c.mayRun(&shares, o) })
		if o == nil {
			return actions
		}
		e := c.fitting(now, &shares, o)
		if e == nil {
			return actions
		}
		actions = append(actions, c.start(now, e, shares.light(e.org)))
	}
	return actions
}

// mayRun reports whether an organisation may take another place. The last
// reserved places are only for those that use less than their share: were they
// open to all, one organisation's backlog would fill every place with long
// answers, and a small one's request would wait for one of them to end although
// the queue is fair.
func (c *Core) mayRun(s *shares, o *organisation) bool {
	free := c.params.MaxRunning - c.running
	return free > c.params.reserved() || s.light(o)
}

// fitting returns the item to start when o is due: its head, or the head of an
// organisation that uses little when o's has no KV room. It returns nil when all
// must wait.
func (c *Core) fitting(now time.Duration, s *shares, o *organisation) *entry {
	head := o.queue[0]
	if head.item.Exclusive {
		if c.running > 0 {
			return c.meanwhile(now, s, head)
		}
		return head
	}
	if c.running == 0 || c.room.Fits(head.kv) {
		return head
	}
	if head.bypassed >= maxBypass {
		return nil
	}
	other := c.queue.next(func(other *organisation) bool {
		e := other.queue[0]
		return other != o && s.light(other) && !e.item.Exclusive && c.room.Fits(e.kv)
	})
	if other == nil {
		return nil
	}
	head.bypassed++
	return other.queue[0]
}

// meanwhile returns an item to run while a suspect waits for the engine to be
// empty: one that ends before what runs already does, so that the suspect waits no
// longer for it. Without it everyone at this endpoint waits for the longest answer
// that happens to run. Items may take longer than expected, so their number is
// bounded.
func (c *Core) meanwhile(now time.Duration, s *shares, suspect *entry) *entry {
	if suspect.bypassed >= maxBypass {
		return nil
	}
	empty := c.emptyAt()
	o := c.queue.next(func(o *organisation) bool {
		head := o.queue[0]
		return c.mayRun(s, o) && !head.item.Exclusive && now+duration(head.cost) <= empty && c.room.Fits(head.kv)
	})
	if o == nil {
		return nil
	}
	suspect.bypassed++
	return o.queue[0]
}

// emptyAt is when all that runs is expected to have ended.
func (c *Core) emptyAt() time.Duration {
	var last time.Duration
	for _, e := range c.entries {
		if e.running {
			last = max(last, e.ends)
		}
	}
	return last
}

func (c *Core) start(now time.Duration, e *entry, light bool) Action {
	a := Start{ID: e.item.ID, Waited: now - e.arrived, Reason: reasonFree, EnginePriority: PriorityHeavy}
	if light {
		a.EnginePriority = PriorityLight
	}
	if c.params.MaxRunning-c.running <= c.params.reserved() {
		a.Reason = reasonReserve
	}
	if e.item.Exclusive {
		c.exclusive = true
		a.Reason = reasonAlone
	}
	c.queue.charge(e)
	e.org.pace.finished(1)
	c.queue.remove(e)
	e.org.noteQueue(now)
	c.uncached -= e.item.UncachedTokens
	c.prefillUntil = now + c.backlog(now) + duration(c.params.prefill(e.item.UncachedTokens))
	e.running = true
	e.ends = now + duration(e.cost)
	c.running++
	c.room.Add(e.kv)
	c.setRunning(now, e.org, e.org.running+1)
	return a
}

func (c *Core) setRunning(now time.Duration, o *organisation, running int) {
	o.running = running
	o.use.set(now, running)
	c.present.update(o)
}

// stop forgets a running entry.
func (c *Core) stop(now time.Duration, e *entry) {
	c.speed.advance(now, c.busy())
	delete(c.entries, e.item.ID)
	c.running--
	c.setRunning(now, e.org, e.org.running-1)
	c.outstanding -= e.expected
	c.room.Remove(e.kv)
	if e.item.Exclusive {
		c.exclusive = false
	}
}

// backlog is how long the engine will compute the prompts that it has.
func (c *Core) backlog(now time.Duration) time.Duration { return max(0, c.prefillUntil-now) }

// busy reports whether the engine is kept as busy as admission lets it be.
func (c *Core) busy() bool { return c.queue.length > 0 }
