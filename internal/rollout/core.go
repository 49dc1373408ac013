package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"skylarklead/internal/fleet"
)

// Params are the timing and the concurrency of a rollout.
type Params struct {
	// LoadShare is the fraction of a model's replicas that load at once, 0 to 1, rounded to
	// whole replicas. It is what a weights store serves at full speed: with more, each load takes
	// longer and none ends sooner. It is not rounded down, since nine replicas that load one by
	// one serve replaced weights for 17 s after each change, and for half of that two by two.
	LoadShare float64
	// ReportLag is the delay until the end of a load is reported. The weights store would be
	// idle for that long unless correspondingly more replicas load at once.
	ReportLag time.Duration
	// LoadTime is the initial estimate of the time from an order until the end of its load is
	// reported. LearningRate is the weight of each observed load. MaxLoadTime limits an observed
	// load, since an order that was executed late takes seconds more and says little of others.
	LoadTime, MaxLoadTime time.Duration
	LearningRate          float64
	// PublishLead is the time from when a record is accepted by the topic to the order; the
	// entries' long polls have delivered it by then. PublishTimeout is how long an order waits
	// for a record that the store doesn't accept; replicas then refuse what entries still send.
	PublishLead, PublishTimeout time.Duration
	// FirstPoll and PollInterval are when a replica that accepted an order is queried for its
	// state. Its report is a few hundred milliseconds old.
	FirstPoll, PollInterval time.Duration
	// RetryBackoff is the pause before the next order after a reply that leaves the replica as
	// it was.
	RetryBackoff time.Duration
	// LoadTimeout is when a replica whose load doesn't end no longer counts against the limit of
	// concurrent loads.
	LoadTimeout time.Duration
	// SlotDelay is the expected time from when a replica's slot is published to its start.
	SlotDelay time.Duration
}

// DefaultParams assume loads of about a second until loads were observed. Weights stores serve 2 of 9,
// 2 of 12, 3 of 18, 7 of 38, 9 of 46 and 11 of 56 replicas at full speed where that is known.
var DefaultParams = Params{
	LoadShare: 0.18, ReportLag: 300 * time.Millisecond, LoadTime: 1200 * time.Millisecond,
	MaxLoadTime: 4 * time.Second, LearningRate: 0.3, SlotDelay: 1200 * time.Millisecond, PublishLead: 20 * time.Millisecond, PublishTimeout: 400 * time.Millisecond,
	FirstPoll: 700 * time.Millisecond, PollInterval: 150 * time.Millisecond,
	RetryBackoff: 400 * time.Millisecond, LoadTimeout: 8 * time.Second,
}

// State is one replica of the model as the entry sees it now.
type State struct {
	Replica *fleet.Replica
	// Version and AcceptedOrders are as in the VersionTracker.
	Version        uint64
	AcceptedOrders uint64
	// Reachable replicas can be sent an order.
	Reachable bool
	// Running is the number of requests that this entry has running there.
	Running int
	// TimeToSlot is the time until the replica's slot, if HasSlot.
	TimeToSlot time.Duration
	HasSlot    bool
}

// slotOrder is the sort key of a replica's slot; replicas without a slot come last.
func (s *State) slotOrder() time.Duration {
	if s.HasSlot {
		return s.TimeToSlot
	}
	return math.MaxInt64
}

// Action is what a Core asks its entry to do: Publish, SendOrder or QueryState.
type Action interface{ rolloutAction() }

// Publish asks to append a record to the entries' topic and to call RecordPublished.
type Publish struct{ Record Record }

// SendOrder asks to send an order and to call OrderReplied.
type SendOrder struct{ Order fleet.Order }

// QueryState asks to query a replica for its state and to call StateReported or QueryFailed.
type QueryState struct{ Replica *fleet.Replica }

func (Publish) rolloutAction()    {}
func (SendOrder) rolloutAction()  {}
func (QueryState) rolloutAction() {}

type orderStep uint8

const (
	stepPublished orderStep = iota
	stepOrderSent
	stepLoading
	stepPaused
)

// pendingOrder is an order in progress, from the publication of its record to the end of the
// load.
type pendingOrder struct {
	replica        *fleet.Replica
	version        uint64
	acceptedOrders uint64
	// expectedOrders is the ExpectedOrders of the latest order; refused is set if that order
	// was refused as a conflict.
	expectedOrders uint64
	refused        bool
	step           orderStep
	stepSince      time.Duration
	nextAction     time.Duration
	started        time.Duration
	querying       bool
}

// maxBackoffShift limits the backoff of a replica that doesn't answer to eight times
// RetryBackoff.
const maxBackoffShift = 3

// Core issues the orders for one model while its entry holds the lease.
//
// Invariant: at most one order per replica is in progress, and none is sent without a fence.
type Core struct {
	params  Params
	holder  string
	model   string
	desired uint64
	pending map[string]*pendingOrder
	// slotPublished has the version for which a replica's slot was last published.
	slotPublished map[string]uint64
	// unreachable has the replicas that didn't answer.
	unreachable map[string]unreachableReplica
	// loadTime is the estimated duration of a load, learnt from the orders of this holder.
	loadTime time.Duration
}

// unreachableReplica is a replica that an order didn't reach or that didn't report its state:
// how often in a row, and when it is tried next.
type unreachableReplica struct {
	failures int
	retryAt  time.Duration
}

// NewCore returns the rollout of a model by the given lease holder.
func NewCore(model, holder string, p Params) *Core {
	return &Core{params: p, holder: holder, model: model, pending: map[string]*pendingOrder{}, unreachable: map[string]unreachableReplica{}, slotPublished: map[string]uint64{}, loadTime: p.LoadTime}
}

// SetDesired sets the version to bring the replicas to. Lower versions than before are ignored.
func (c *Core) SetDesired(version uint64) { c.desired = max(c.desired, version) }

// Desired is the version that the replicas are brought to.
func (c *Core) Desired() uint64 { return c.desired }

// releaseUnreachable ends the order for a replica that doesn't answer, so that another replica
// may load. Otherwise unreachable replicas would block the rollout until each of their calls has
// timed out, and the running ones would serve old weights beyond the time allowed.
func (c *Core) releaseUnreachable(id string, now time.Duration) []Action {
	delete(c.pending, id)
	u := c.unreachable[id]
	u.retryAt = now + c.params.RetryBackoff<<min(u.failures, maxBackoffShift)
	u.failures++
	c.unreachable[id] = u
	return []Action{Publish{c.record(id, c.desired, PhaseReleased, 0)}}
}

// NeedsOrders reports whether any replica is to be sent an order.
func (c *Core) NeedsOrders(replicas []State) bool {
	for i := range replicas {
		if replicas[i].Version < c.desired {
			return true
		}
	}
	return false
}

// Stop drops all orders in progress because the lease is lost. Whether they take effect is
// unknown.
func (c *Core) Stop() {
	clear(c.pending)
	clear(c.slotPublished)
}

// Active reports whether orders are in progress.
func (c *Core) Active() bool { return len(c.pending) > 0 }

// Step returns what to do next under the fence.
func (c *Core) Step(now time.Duration, fence uint64, replicas []State) []Action {
	var actions []Action
	byID := make(map[string]*State, len(replicas))
	for i := range replicas {
		byID[replicas[i].Replica.ID] = &replicas[i]
	}
	for _, id := range c.ids() {
		actions = append(actions, c.advance(now, fence, c.pending[id], byID[id])...)
	}
	due := c.due(now, replicas)
	limit := c.maxLoads(replicas)
	starting := max(0, min(limit-len(c.pending), len(due)))
	actions = append(actions, c.startOrders(now, due[:starting])...)
	return append(actions, c.publishSlots(due[starting:], limit)...)
}

func (c *Core) ids() []string {
	ids := make([]string, 0, len(c.pending))
	for id := range c.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// advance continues one order in progress.
func (c *Core) advance(now time.Duration, fence uint64, o *pendingOrder, s *State) []Action {
	if s == nil {
		delete(c.pending, o.replica.ID)
		delete(c.unreachable, o.replica.ID)
		return nil
	}
	if s.Version >= o.version {
		if o.step == stepLoading && !o.refused {
			c.learnLoadTime(now - o.stepSince)
		}
		delete(c.pending, o.replica.ID)
		// The reply to the order may have a higher count of accepted orders than the registration.
		return []Action{Publish{c.record(o.replica.ID, s.Version, PhaseServing, max(o.acceptedOrders, s.AcceptedOrders))}}
	}
	if now-o.started > c.params.LoadTimeout {
		return c.releaseUnreachable(o.replica.ID, now)
	}
	if now < o.nextAction {
		return nil
	}
	switch o.step {
	case stepPublished:
		return c.sendOrder(now, fence, o, s)
	case stepPaused:
		// A new holder waits until an order of another one can't arrive any more: it has to know of each.
		resent := Publish{c.record(o.replica.ID, c.desired, PhaseResent, o.acceptedOrders)}
		return append([]Action{resent}, c.sendOrder(now, fence, o, s)...)
	case stepLoading:
		if o.querying {
			return nil
		}
		o.querying = true
		return []Action{QueryState{Replica: o.replica}}
	}
	return nil
}

// sendOrder orders the newest version, which may have been announced since the record was
// published. Requests that run continue: waiting for them would leave a loaded replica without
// work until its longest stream ends, and give the other replicas that much more.
func (c *Core) sendOrder(now time.Duration, fence uint64, o *pendingOrder, s *State) []Action {
	o.version = c.desired
	o.acceptedOrders = max(o.acceptedOrders, s.AcceptedOrders)
	o.step, o.stepSince = stepOrderSent, now
	o.expectedOrders, o.refused = o.acceptedOrders, false
	return []Action{SendOrder{Order: fleet.Order{
		Replica: o.replica, Model: c.model, Version: o.version, Mode: fleet.ModeRetain,
		Holder: c.holder, Fence: fence, ExpectedOrders: o.acceptedOrders,
	}}}
}

// due lists the replicas to send an order to, in order.
func (c *Core) due(now time.Duration, replicas []State) []*State {
	var due []*State
	for i := range replicas {
		s := &replicas[i]
		id := s.Replica.ID
		if s.Version < c.desired && s.Reachable && c.pending[id] == nil && now >= c.unreachable[id].retryAt {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(a, b *State) int {
		// Oldest version first: with versions in quick succession, replicas that have just loaded
		// would otherwise load again, while one that was skipped serves its old weights beyond the
		// time allowed.
		if d := cmp.Compare(a.Version, b.Version); d != 0 {
			return d
		}
		if d := cmp.Compare(a.slotOrder(), b.slotOrder()); d != 0 {
			return d
		}
		if d := cmp.Compare(a.Running, b.Running); d != 0 {
			return d
		}
		return cmp.Compare(a.Replica.ID, b.Replica.ID)
	})
	return due
}

// publishSlots announces to all entries which replicas load next. Streams that would outlast the start
// of the slot are then sent elsewhere, so that little is left to finish. Otherwise a replica is
// idle for seconds while its last stream ends.
func (c *Core) publishSlots(due []*State, limit int) []Action {
	var actions []Action
	for _, s := range due[:min(limit, len(due))] {
		id := s.Replica.ID
		if c.slotPublished[id] >= c.desired {
			continue
		}
		c.slotPublished[id] = c.desired
		r := c.record(id, c.desired, PhasePlanned, 0)
		r.AfterMs = c.params.SlotDelay.Milliseconds()
		actions = append(actions, Publish{r})
	}
	return actions
}

// startOrders publishes the records of new orders.
func (c *Core) startOrders(now time.Duration, due []*State) []Action {
	var actions []Action
	for _, s := range due {
		c.pending[s.Replica.ID] = &pendingOrder{
			replica: s.Replica, version: c.desired, acceptedOrders: s.AcceptedOrders,
			step: stepPublished, stepSince: now, started: now, nextAction: now + c.params.PublishTimeout,
		}
		actions = append(actions, Publish{c.record(s.Replica.ID, c.desired, PhaseOrdered, s.AcceptedOrders)})
	}
	return actions
}

// maxLoads is how many of the reachable replicas may load at once. One of several always serves.
func (c *Core) maxLoads(replicas []State) int {
	reachable := 0
	for i := range replicas {
		if replicas[i].Reachable {
			reachable++
		}
	}
	loadTime := float64(c.loadTime)
	lagFactor := loadTime / (loadTime - float64(c.params.ReportLag))
	loads := int(math.Round(float64(reachable) * c.params.LoadShare * lagFactor))
	return max(1, min(loads, reachable-1))
}

// learnLoadTime updates the estimate by a load whose end was reported took after its order.
func (c *Core) learnLoadTime(took time.Duration) {
	took = min(max(took, 2*c.params.ReportLag), c.params.MaxLoadTime)
	c.loadTime += time.Duration(c.params.LearningRate * float64(took-c.loadTime))
}

func (c *Core) record(replica string, version uint64, phase Phase, orders uint64) Record {
	return Record{Holder: c.holder, Replica: replica, Model: c.model, Version: version, Phase: phase, AcceptedOrders: orders}
}

// RecordPublished reports that the record of a replica's order is on the topic.
func (c *Core) RecordPublished(id string, now time.Duration) {
	if o := c.pending[id]; o != nil && o.step == stepPublished {
		o.nextAction = now + c.params.PublishLead
	}
}

// OrderReplied handles a replica's reply to an order. After ReplyFenced the lease must be
// released: another holder has a higher fence.
func (c *Core) OrderReplied(id string, reply fleet.Reply, now time.Duration) []Action {
	o := c.pending[id]
	if o == nil || o.step != stepOrderSent {
		return nil
	}
	switch reply {
	case fleet.ReplyAccepted:
		o.acceptedOrders++
		o.step, o.nextAction, o.querying = stepLoading, now+c.params.FirstPoll, false
	case fleet.ReplyConflict:
		o.refused = true
		o.step, o.nextAction, o.querying = stepLoading, now, false
	case fleet.ReplyInForce, fleet.ReplyUnknown:
		// Its state shows what happened: it may be loading for an order whose reply was lost.
		o.step, o.nextAction, o.querying = stepLoading, now, false
	case fleet.ReplyFenced:
		c.Stop()
	case fleet.ReplyMisdirected, fleet.ReplyNotSent:
		return c.releaseUnreachable(id, now)
	default:
		o.step, o.nextAction = stepPaused, now+c.params.RetryBackoff
	}
	return nil
}

// StateReported handles a replica's state. It returns the record to publish once the version is
// in force.
func (c *Core) StateReported(id string, r *fleet.Report, now time.Duration) []Action {
	o := c.pending[id]
	if o == nil || !o.querying {
		return nil
	}
	o.querying = false
	delete(c.unreachable, id)
	o.acceptedOrders = max(o.acceptedOrders, r.AcceptedOrders)
	o.nextAction = now + c.params.PollInterval
	if version := r.Weights[c.model]; version >= o.version && !r.Busy {
		c.learnLoadTime(now - o.stepSince)
		delete(c.pending, id)
		return []Action{Publish{c.record(id, version, PhaseServing, o.acceptedOrders)}}
	}
	// A report that the replica isn't busy, soon after the order, may be older than the order. An
	// order that was refused for its expected count started nothing: an issuer that has just
	// started knows no counts, and waiting would leave each replica without work for nothing.
	conflictExplained := o.refused && r.AcceptedOrders > o.expectedOrders
	if r.Busy || !conflictExplained && now-o.stepSince < c.params.FirstPoll {
		return nil
	}
	o.step, o.nextAction = stepPaused, now
	return nil
}

// QueryFailed reports that a replica's state couldn't be read.
func (c *Core) QueryFailed(id string, now time.Duration) []Action {
	if c.pending[id] == nil {
		return nil
	}
	return c.releaseUnreachable(id, now)
}
