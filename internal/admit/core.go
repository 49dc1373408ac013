package admit

import (
	"time"

	"skylarklead/internal/protocol"
)

// Values of Start.Reason.
const (
	reasonFree      = "free_place"
	reasonReserve   = "reserve"
	reasonExclusive = "runs_alone"
)

// maxBypass bounds how often an item that is due, but has to wait for KV room or for
// an empty engine, may be passed by other items. Beyond it all others wait for it;
// otherwise a stream of short requests would starve a long one.
const maxBypass = 16

// Core is the admission control of one engine.
type Core struct {
	params       Params
	queue        fairQueue
	entries      map[ID]*entry
	kv           *KVReservations
	throughput   rateEstimate
	outputLength lengthEstimate // of all organisations
	active       activeSet
	seq          uint64
	running      int
	exclusive    bool
	draining     bool
	// outstandingTokens is the sum of the expected output tokens of all items,
	// waitingTokens that of the uncached prompt tokens of the waiting items.
	outstandingTokens int
	waitingTokens     int
	// prefillUntil is when the engine is expected to have computed the prompts that
	// were sent to it. It computes them one after another.
	prefillUntil time.Duration
}

// NewCore returns a Core with nothing waiting or running.
func NewCore(p Params) *Core {
	p = p.withDefaults()
	return &Core{
		params:     p,
		queue:      fairQueue{orgs: make(map[string]*organisation)},
		entries:    make(map[ID]*entry),
		kv:         NewKVReservations(p.KVTokens),
		throughput: newRateEstimate(float64(p.MaxRunning)),
	}
}

// Arrive adds a new item. An ID that is already present is ignored.
func (c *Core) Arrive(now time.Duration, item Item) []Action {
	if _, known := c.entries[item.ID]; known {
		return nil
	}
	if c.draining {
		return []Action{Refuse{item.ID, protocol.CodeDraining, 0, "this endpoint is draining"}}
	}
	e := c.newEntry(now, item)
	if refusal := c.overLimit(e); refusal != nil {
		return []Action{*refusal}
	}
	c.enqueue(e)
	actions := c.dispatch(now, nil)
	if e.running {
		return actions
	}
	return c.dispatch(now, c.shed(now, e, actions))
}

// Finish ends a running item and records what it used.
func (c *Core) Finish(now time.Duration, id ID, actual Actual) []Action {
	e := c.entries[id]
	if e == nil || !e.running {
		return nil
	}
	c.stop(now, e)
	cost := 0.0
	if actual.Ran {
		cost = c.params.cost(actual.UncachedTokens, actual.OutputTokens)
		e.org.outputLength.observe(actual.OutputTokens, e.item.MaxTokens)
		c.outputLength.observe(actual.OutputTokens, e.item.MaxTokens)
		c.throughput.add(cost)
	}
	c.queue.correctCharge(e.org, cost-e.cost)
	if c.running == 0 && c.queue.length == 0 {
		c.queue.endBusyPeriod()
	}
	return c.dispatch(now, nil)
}

// Cancel removes a waiting item that is no longer wanted. A running one stays until
// Finish.
func (c *Core) Cancel(now time.Duration, id ID) []Action {
	e := c.entries[id]
	if e == nil || e.running {
		return nil
	}
	c.dequeue(e)
	return c.dispatch(now, nil)
}

// Tick refuses the items that can no longer meet their deadline. It is to be called
// about every 100 ms.
func (c *Core) Tick(now time.Duration) []Action {
	c.throughput.advance(now, c.busy())
	var actions []Action
	for _, e := range c.lateEntries(now) {
		c.dequeue(e)
		actions = append(actions, c.refusal(e, protocol.CodeDeadline, "deadline passed while waiting"))
	}
	return c.dispatch(now, actions)
}

// Drain refuses all items that arrive from now on. Waiting items still run.
func (c *Core) Drain() { c.draining = true }

// RefuseWaiting refuses all waiting items, for a drain that has little time left. The
// callers' entries place them elsewhere.
func (c *Core) RefuseWaiting() []Action {
	var actions []Action
	for len(c.queue.waiting) > 0 {
		e := c.queue.waiting[0].queue[0]
		c.dequeue(e)
		actions = append(actions, Refuse{e.item.ID, protocol.CodeDraining, 0, "this endpoint is draining"})
	}
	return actions
}

// Summary is the admission control's part of a load summary.
type Summary struct {
	Running int
	Queued  int
	// QueuedTokens is the number of prompt tokens still to be computed: of waiting
	// items and, estimated, of running ones.
	QueuedTokens int
	// DecodeTokens is the sum of the expected output tokens of all items.
	DecodeTokens int
	Saturated    bool
	// Organisations is how many organisations have items waiting. Heavy names those of
	// them that exceed their share or have a backlog of their own here.
	Organisations int
	Heavy         []string
	// OutputShare is the mean ratio of output tokens to the maximum allowed, 0 if not
	// known yet.
	OutputShare float64
}

// heavyOrganisations lists the waiting organisations whose next item has to wait for
// more than one slot: those over their share, or with several items waiting.
func (c *Core) heavyOrganisations() []string {
	shares := c.shares(c.throughput.updatedAt)
	var names []string
	for _, o := range c.queue.waiting {
		if len(names) < maxHeavy && (len(o.queue) >= minBacklog || !shares.withinShare(o)) {
			names = append(names, o.name)
		}
	}
	return names
}

const (
	// maxHeavy bounds the names in a load summary.
	maxHeavy = 8
	// minBacklog is how many waiting items of one organisation count as a backlog of
	// its own. Three organisations that share an engine evenly are each within their
	// share, however long their queues are.
	minBacklog = 2
)

// Summary returns the load as of the last event.
func (c *Core) Summary() Summary {
	prefilling := c.prefillBacklog(c.throughput.updatedAt).Seconds() * c.params.PrefillTokensPerSecond
	share := 0.0
	if c.outputLength.known() {
		share = c.outputLength.mean
	}
	return Summary{
		Heavy:         c.heavyOrganisations(),
		OutputShare:   share,
		Running:       c.running,
		Queued:        c.queue.length,
		QueuedTokens:  c.waitingTokens + int(prefilling),
		DecodeTokens:  c.outstandingTokens,
		Saturated:     c.queue.length > 0 && c.running >= c.params.MaxRunning-c.params.reservedSlots(),
		Organisations: len(c.queue.waiting),
	}
}

func (c *Core) newEntry(now time.Duration, item Item) *entry {
	c.seq++
	o := c.queue.organisation(&item)
	e := &entry{item: item, org: o, seq: c.seq, arrived: now}
	mean, deviation := o.outputLength.expect(item.MaxTokens)
	e.expected = item.ExpectedTokens
	if e.expected <= 0 {
		e.expected = int(mean)
	}
	e.latestStart = c.latestStart(now, e, mean+serviceMargin*deviation)
	e.kv = kvDemand{prompt: item.UncachedTokens, maxOutput: item.MaxTokens}
	e.cost = c.params.cost(item.UncachedTokens, e.expected)
	return e
}

func (c *Core) enqueue(e *entry) {
	c.entries[e.item.ID] = e
	c.queue.push(e)
	c.active.update(e.org)
	c.outstandingTokens += e.expected
	c.waitingTokens += e.item.UncachedTokens
}

// dequeue removes a waiting entry.
func (c *Core) dequeue(e *entry) {
	delete(c.entries, e.item.ID)
	c.queue.remove(e)
	e.org.recordQueueState(c.throughput.updatedAt)
	c.active.update(e.org)
	c.outstandingTokens -= e.expected
	c.waitingTokens -= e.item.UncachedTokens
}

// dispatch starts all items that may start and appends the actions.
func (c *Core) dispatch(now time.Duration, actions []Action) []Action {
	c.throughput.advance(now, c.busy())
	for c.queue.length > 0 && c.running < c.params.MaxRunning && !c.exclusive {
		shares := c.shares(now)
		o := c.queue.next(func(o *organisation) bool { return c.mayRun(&shares, o) })
		if o == nil {
			return actions
		}
		e := c.pick(now, &shares, o)
		if e == nil {
			return actions
		}
		actions = append(actions, c.start(now, e, shares.withinShare(e.org)))
	}
	return actions
}

// mayRun reports whether an organisation may take another slot. The last reserved
// slots are only for organisations within their share, or with nothing running. If they were open to all, one
// organisation's backlog would fill every slot with long answers, and a small
// organisation's request would have to wait for one of them to end although the queue
// is fair.
func (c *Core) mayRun(s *shares, o *organisation) bool {
	free := c.params.MaxRunning - c.running
	return free > c.params.reservedSlots() || o.running == 0 || s.withinShare(o)
}

// pick returns the item to start when o is due: its head or, if that has no KV room,
// the head of an organisation within its share. While a head that must run exclusively
// waits for an empty engine, backfill chooses the item. pick returns nil if all have
// to wait.
func (c *Core) pick(now time.Duration, s *shares, o *organisation) *entry {
	head := o.queue[0]
	if head.item.Exclusive {
		if c.running > 0 {
			return c.backfill(now, s, head)
		}
		return head
	}
	if c.running == 0 || c.kv.Fits(head.kv) {
		return head
	}
	if head.bypassed >= maxBypass {
		return nil
	}
	other := c.queue.next(func(other *organisation) bool {
		e := other.queue[0]
		return other != o && s.withinShare(other) && !e.item.Exclusive && c.kv.Fits(e.kv)
	})
	if other == nil {
		return nil
	}
	head.bypassed++
	return other.queue[0]
}

// backfill returns an item to run while a suspect waits for the engine to be empty:
// one that is expected to end before the items that already run, so that it doesn't
// delay the suspect. Without backfilling, all requests at this endpoint wait for the
// longest answer that happens to run. Items may take longer than expected, so their
// number is bounded.
func (c *Core) backfill(now time.Duration, s *shares, suspect *entry) *entry {
	if suspect.bypassed >= maxBypass {
		return nil
	}
	empty := c.idleAt()
	o := c.queue.next(func(o *organisation) bool {
		head := o.queue[0]
		return c.mayRun(s, o) && !head.item.Exclusive && now+duration(head.cost) <= empty && c.kv.Fits(head.kv)
	})
	if o == nil {
		return nil
	}
	suspect.bypassed++
	return o.queue[0]
}

// idleAt is when all running items are expected to have ended.
func (c *Core) idleAt() time.Duration {
	var last time.Duration
	for _, e := range c.entries {
		if e.running {
			last = max(last, e.expectedEnd)
		}
	}
	return last
}

func (c *Core) start(now time.Duration, e *entry, withinShare bool) Action {
	a := Start{ID: e.item.ID, Waited: now - e.arrived, Reason: reasonFree, EnginePriority: PriorityOverShare}
	if withinShare {
		a.EnginePriority = PriorityWithinShare
	}
	if c.params.MaxRunning-c.running <= c.params.reservedSlots() {
		a.Reason = reasonReserve
	}
	if e.item.Exclusive {
		c.exclusive = true
		a.Reason = reasonExclusive
	}
	c.queue.charge(e)
	e.org.startRate.add(1)
	c.queue.remove(e)
	e.org.recordQueueState(now)
	c.waitingTokens -= e.item.UncachedTokens
	c.prefillUntil = now + c.prefillBacklog(now) + duration(c.params.prefillMs(e.item.UncachedTokens))
	e.running = true
	e.expectedEnd = now + duration(e.cost)
	c.running++
	c.kv.Add(e.kv)
	c.setRunning(now, e.org, e.org.running+1)
	return a
}

func (c *Core) setRunning(now time.Duration, o *organisation, running int) {
	o.running = running
	o.use.update(now, running)
	c.active.update(o)
}

// stop removes a running entry.
func (c *Core) stop(now time.Duration, e *entry) {
	c.throughput.advance(now, c.busy())
	delete(c.entries, e.item.ID)
	c.running--
	c.setRunning(now, e.org, e.org.running-1)
	c.outstandingTokens -= e.expected
	c.kv.Remove(e.kv)
	if e.item.Exclusive {
		c.exclusive = false
	}
}

// prefillBacklog is how long the engine is expected to compute the prompts that were
// sent to it.
func (c *Core) prefillBacklog(now time.Duration) time.Duration { return max(0, c.prefillUntil-now) }

// busy reports whether the engine is as busy as admission allows.
func (c *Core) busy() bool { return c.queue.length > 0 }
