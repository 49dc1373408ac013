package admit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// entry is an item that waits or runs.
type entry struct {
	item     Item
	org      *organisation
	seq      uint64
	arrived  time.Duration
	expected int     // output tokens
	cost     float64 // ms
	running  bool
	ends     time.Duration // expected, while it runs
	bypassed int
	kv       demand
	// latestStart is when it must have started to make its deadline.
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
	// waitingSince is when queue was last empty for a standingPause, emptiedAt
	// when it last became so.
	waitingSince, emptiedAt time.Duration
	// pace is how many items it starts while it has a queue. Not their work: as a
	// sum of estimates it would be far off for seconds after the first estimates.
	pace speed
	use  use
	// start is the virtual time at which its next item is due.
	start float64
	// served numbers its last start among all.
	served uint64
	output lengths
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

// noteQueue notes whether the queue has become empty.
func (o *organisation) noteQueue(now time.Duration) {
	o.pace.advance(now, len(o.queue) > 0)
	if len(o.queue) == 0 {
		o.emptiedAt = max(o.emptiedAt, now)
	}
}

func (o *organisation) idle() bool { return o.running == 0 && len(o.queue) == 0 }

// fairQueue is start-time fair queueing (Goyal, Vin, Cheng 1996) over work: each
// organisation's next item is due at the virtual time at which its last one has
// used up the organisation's share, and the earliest due goes first. An
// organisation that comes after a pause is due at the present virtual time, ahead
// of any backlog, and gains nothing from having been away.
type fairQueue struct {
	virtual float64
	latest  float64 // greatest start of any organisation
	starts  uint64
	orgs    map[string]*organisation
	waiting []*organisation // those with a queue
	length  int
	cost    float64 // of all queues, ms
}

// maxIdle bounds the organisations remembered without any item.
const maxIdle = 4096

func (q *fairQueue) organisation(item *Item) *organisation {
	o := q.orgs[item.Organisation]
	if o == nil {
		if len(q.orgs) >= maxIdle {
			q.forgetIdle()
		}
		o = &organisation{name: item.Organisation, pace: speed{memory: paceMemory}}
		q.orgs[item.Organisation] = o
	}
	o.weight = item.weight()
	return o
}

// weight is the organisation's weight at this endpoint. An organisation with a
// backlog at every endpoint would get a full share from each, and a small one,
// whose prefixes are in few caches, one full share in all: at the endpoints that
// hold them it would be crowded out, though it asks for less than its share of the
// group. One would see its requests wait and be refused beside a large one's. The
// sum of an organisation's weights over the group is thus bounded.
func (i *Item) weight() float64 {
	w := i.Weight
	if !(w > 0) || math.IsInf(w, 0) {
		w = 1
	}
	return w / float64(1+max(0, i.BacklogsElsewhere))
}

// forgetIdle drops organisations that have nothing here and owe nothing.
func (q *fairQueue) forgetIdle() {
	for name, o := range q.orgs {
		if o.idle() && o.start <= q.virtual {
			delete(q.orgs, name)
		}
	}
}

func (q *fairQueue) push(e *entry) {
	o := e.org
	if len(o.queue) == 0 {
		o.start = max(o.start, q.virtual)
		if e.arrived-o.emptiedAt > standingPause {
			o.waitingSince = e.arrived
		}
		o.pace.advance(e.arrived, true)
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

// charge moves virtual time to e's start and its organisation's next start
// beyond e's cost.
func (q *fairQueue) charge(e *entry) {
	o := e.org
	q.starts++
	o.served = q.starts
	q.virtual = max(q.virtual, o.start)
	o.start = max(o.start, q.virtual) + e.cost/o.weight
	q.latest = max(q.latest, o.start)
}

// rest ends a busy period: with nothing left to share, nobody owes anything.
func (q *fairQueue) rest() { q.virtual = max(q.virtual, q.latest) }

// correct settles the difference between a charged and an actual cost.
func (q *fairQueue) correct(o *organisation, delta float64) {
	o.start = max(q.virtual, o.start+delta/o.weight)
	q.latest = max(q.latest, o.start)
}

// next returns the waiting organisation that is due first among those that pass.
func (q *fairQueue) next(pass func(*organisation) bool) *organisation {
	var first *organisation
	for _, o := range q.waiting {
		if first != nil && !due(o, first) {
			continue
		}
		if pass(o) {
			first = o
		}
	}
	return first
}

// due reports whether a goes before b: earliest virtual start, then least
// recently served, then arrival. The second matters because a cost that is
// settled downwards can bring a backlog's start back to that of a newcomer,
// which would then wait behind it again and again.
func due(a, b *organisation) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	if a.served != b.served {
		return a.served < b.served
	}
	return a.queue[0].seq < b.queue[0].seq
}
