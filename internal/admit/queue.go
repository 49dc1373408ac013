package admit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// entry is an item that waits or runs.
type entry struct {
	item        Item
	org         *organisation
	seq         uint64
	arrived     time.Duration
	expected    int     // output tokens
	cost        float64 // ms
	running     bool
	expectedEnd time.Duration // set while it runs
	bypassed    int
	kv          kvDemand
	// latestStart is when the item has to have started to meet its deadline.
	latestStart time.Duration
}

func compareEntries(a, b *entry) int {
	if c := cmp.Compare(a.item.Priority, b.item.Priority); c != 0 {
		return c
	}
	return cmp.Compare(a.seq, b.seq)
}

// organisation is the state of one organisation at this endpoint.
type organisation struct {
	name    string
	weight  float64
	queue   []*entry // by priority, then arrival
	queued  float64  // cost of queue, ms
	running int
	// backloggedSince is when the queue last became non-empty after having been empty
	// for longer than standingBacklogPause. emptiedAt is when it last became empty.
	backloggedSince, emptiedAt time.Duration
	// startRate is the rate at which items start while the organisation has a queue.
	// It counts items, not work: a sum of estimated work would be far off for seconds
	// after the first estimates.
	startRate rateEstimate
	use       slotUse
	// virtualStart is the virtual time at which the organisation's next item is due.
	virtualStart float64
	// lastServed is the number of the organisation's last start, counted over all
	// organisations.
	lastServed   uint64
	outputLength lengthEstimate
}

func (o *organisation) push(e *entry) {
	at, _ := slices.BinarySearchFunc(o.queue, e, compareEntries)
	o.queue = slices.Insert(o.queue, at, e)
	o.queued += e.cost
}

func (o *organisation) remove(e *entry) {
	at, found := slices.BinarySearchFunc(o.queue, e, compareEntries)
	if !found {
		return
	}
	o.queue = slices.Delete(o.queue, at, at+1)
	o.queued -= e.cost
	if len(o.queue) == 0 {
		o.queued = 0
	}
}

// recordQueueState updates startRate and emptiedAt after the queue has changed.
func (o *organisation) recordQueueState(now time.Duration) {
	o.startRate.advance(now, len(o.queue) > 0)
	if len(o.queue) == 0 {
		o.emptiedAt = max(o.emptiedAt, now)
	}
}

func (o *organisation) idle() bool { return o.running == 0 && len(o.queue) == 0 }

// fairQueue implements start-time fair queueing (Goyal, Vin, Cheng 1996) over work.
// Each organisation's next item is due at the virtual time at which its last one has
// used up the organisation's share, and the earliest due goes first. An organisation
// that returns after a pause is due at the current virtual time: ahead of any backlog,
// but without credit for the time it was away.
type fairQueue struct {
	virtualTime float64
	maxStart    float64 // greatest start of any organisation
	startCount  uint64
	orgs        map[string]*organisation
	waiting     []*organisation // those with a queue
	length      int
	cost        float64 // of all queues, ms
}

// maxIdleOrganisations bounds the organisations remembered without any item.
const maxIdleOrganisations = 4096

func (q *fairQueue) organisation(item *Item) *organisation {
	o := q.orgs[item.Organisation]
	if o == nil {
		if len(q.orgs) >= maxIdleOrganisations {
			q.forgetIdle()
		}
		o = &organisation{name: item.Organisation, startRate: rateEstimate{window: startRateWindow}}
		q.orgs[item.Organisation] = o
	}
	o.weight = item.weight()
	return o
}

// weight is the organisation's weight at this endpoint. An organisation with a backlog
// at every endpoint would get a full share of each, while a small one, whose prefixes
// are in few caches, would get one full share in all. At the endpoints that hold its
// prefixes it would be crowded out: its requests would wait and be refused beside a
// large one's, although it asks for less than its share of the group. So the sum of an
// organisation's weights over the group is bounded.
func (i *Item) weight() float64 {
	w := i.Weight
	if !(w > 0) || math.IsInf(w, 0) {
		w = 1
	}
	return w / float64(1+max(0, i.BacklogsElsewhere))
}

// forgetIdle removes organisations that have no items here and have not used more than
// their share.
func (q *fairQueue) forgetIdle() {
	for name, o := range q.orgs {
		if o.idle() && o.virtualStart <= q.virtualTime {
			delete(q.orgs, name)
		}
	}
}

func (q *fairQueue) push(e *entry) {
	o := e.org
	if len(o.queue) == 0 {
		o.virtualStart = max(o.virtualStart, q.virtualTime)
		if e.arrived-o.emptiedAt > standingBacklogPause {
			o.backloggedSince = e.arrived
		}
		o.startRate.advance(e.arrived, true)
		q.waiting = append(q.waiting, o)
	}
	o.push(e)
	q.length++
	q.cost += e.cost
}

func (q *fairQueue) remove(e *entry) {
	e.org.remove(e)
	q.length--
	q.cost -= e.cost
	if len(e.org.queue) > 0 {
		return
	}
	at := slices.Index(q.waiting, e.org)
	q.waiting = slices.Delete(q.waiting, at, at+1)
	if q.length == 0 {
		q.cost = 0
	}
}

// charge advances the virtual time to e's start, and its organisation's next start by
// e's cost.
func (q *fairQueue) charge(e *entry) {
	o := e.org
	q.startCount++
	o.lastServed = q.startCount
	q.virtualTime = max(q.virtualTime, o.virtualStart)
	o.virtualStart = max(o.virtualStart, q.virtualTime) + e.cost/o.weight
	q.maxStart = max(q.maxStart, o.virtualStart)
}

// endBusyPeriod is called when nothing waits or runs. It advances the virtual time so
// that no organisation starts the next busy period behind the others.
func (q *fairQueue) endBusyPeriod() { q.virtualTime = max(q.virtualTime, q.maxStart) }

// correctCharge applies the difference between the charged and the actual cost.
func (q *fairQueue) correctCharge(o *organisation, delta float64) {
	o.virtualStart = max(q.virtualTime, o.virtualStart+delta/o.weight)
	q.maxStart = max(q.maxStart, o.virtualStart)
}

// next returns the waiting organisation that is due first among those for which pass
// returns true.
func (q *fairQueue) next(pass func(*organisation) bool) *organisation {
	var first *organisation
	for _, o := range q.waiting {
		if first != nil && !dueBefore(o, first) {
			continue
		}
		if pass(o) {
			first = o
		}
	}
	return first
}

// dueBefore reports whether a goes before b: earliest virtual start, then least
// recently served, then arrival. The second criterion is needed because correcting a
// cost downwards can move a backlog's start back to that of a newcomer, which would
// then have to wait behind it repeatedly.
func dueBefore(a, b *organisation) bool {
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	if a.lastServed != b.lastServed {
		return a.lastServed < b.lastServed
	}
	return a.queue[0].seq < b.queue[0].seq
}
