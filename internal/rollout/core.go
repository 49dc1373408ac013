package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"skylarklead/internal/fleet"
)

// Params time a rollout.
type Params struct {
	// LoadShare is the part of a model's replicas that load at once, 0 to 1, rounded:
	// what a store of weights feeds without loads taking longer. More would be away for
	// longer and none be back sooner. Rounded down, nine replicas loaded one by one and
	// were on weights that had been replaced for 17 s of each change; two by two it is half.
	LoadShare float64
	// ReportLag is how long after the end of a load it is heard of: the store stands idle
	// for as long unless that many more load meanwhile.
	ReportLag time.Duration
	// LoadTime is how long it takes from an order to its end being heard of until loads
	// were seen, Learning the weight of each that was, MaxLoadTime the most that one says
	// of the others: one whose order was carried out late takes seconds more.
	LoadTime, MaxLoadTime time.Duration
	LearningRate          float64
	// PublishLead is the time from a note's acceptance to the order: the entries' long
	// polls have brought it by then. PublishTimeout is how long an order waits for a note
	// that the store doesn't accept: replicas then refuse what entries still send.
	PublishLead, PublishTimeout time.Duration
	// FirstPoll and PollInterval are when a replica that took an order is asked for its
	// state. What it reports is a few hundred milliseconds old.
	FirstPoll, PollInterval time.Duration
	// RetryBackoff is the pause before a replica is ordered again after a reply that
	// leaves it as it was.
	RetryBackoff time.Duration
	// LoadTimeout is when a replica that doesn't come out of its load frees its place.
	LoadTimeout time.Duration
	// SlotDelay is how long after its announcement a replica's turn is expected.
	SlotDelay time.Duration
}

// DefaultParams suit loads of about a second until others were seen. Stores of weights
// fed 2 of 9, 2 of 12, 3 of 18, 7 of 38, 9 of 46 and 11 of 56 replicas at full speed where
// it was known.
var DefaultParams = Params{
	LoadShare: 0.18, ReportLag: 300 * time.Millisecond, LoadTime: 1200 * time.Millisecond,
	MaxLoadTime: 4 * time.Second, LearningRate: 0.3, SlotDelay: 1200 * time.Millisecond, PublishLead: 20 * time.Millisecond, PublishTimeout: 400 * time.Millisecond,
	FirstPoll: 700 * time.Millisecond, PollInterval: 150 * time.Millisecond,
	RetryBackoff: 400 * time.Millisecond, LoadTimeout: 8 * time.Second,
}

// State is one replica of the model as the entry sees it now.
type State struct {
	Replica *fleet.Replica
	// Version and Orders are as the Board has them.
	Version        uint64
	AcceptedOrders uint64
	// Reachable replicas can be given an order.
	Reachable bool
	// Running is how much this entry has there.
	Running int
	// TimeToSlot is the time until its planned turn, if Planned.
	TimeToSlot time.Duration
	HasSlot    bool
}

// turn orders replicas by their plan; those without one come last.
func (s *State) turn() time.Duration {
	if s.HasSlot {
		return s.TimeToSlot
	}
	return math.MaxInt64
}

// Action is what a Core asks its entry to do: Announce, Give or Ask.
type Action interface{ rolloutAction() }

// Publish appends a note to the entries' topic.
type Publish struct{ Record Record }

// SendOrder sends an order and reports Replied.
type SendOrder struct{ Order fleet.Order }

// QueryState asks a replica for its state and reports Reported or ReportFailed.
type QueryState struct{ Replica *fleet.Replica }

func (Publish) rolloutAction()    {}
func (SendOrder) rolloutAction()  {}
func (QueryState) rolloutAction() {}

type step uint8

const (
	stepAnnounced step = iota
	stepGiven
	stepLoading
	stepPaused
)

// target is one replica that an order is under way for.
type target struct {
	replica *fleet.Replica
	version uint64
	orders  uint64
	// tried is the number of orders that the latest one expected, refused says that
	// it was refused as a conflict.
	tried   uint64
	refused bool
	step    step
	since   time.Duration
	next    time.Duration
	started time.Duration
	asked   bool
}

// maxAwayShift bounds the pause between tries at a replica that doesn't answer to
// eight times Again.
const maxAwayShift = 3

// Core gives the orders for one model while its entry holds the lease.
//
// Invariant: at most one order is under way for a replica, and none is given
// without a fence.
type Core struct {
	params  Params
	holder  string
	model   string
	wanted  uint64
	targets map[string]*target
	// planned has the version that a replica was last announced to come next for.
	planned map[string]uint64
	// away has the replicas that didn't answer: how often in a row, and when they
	// are tried next.
	away map[string]absence
	// loadTime is how long loads take, learnt from those that this holder ordered.
	loadTime time.Duration
}

// absence is a replica that an order didn't reach, or that gave no report.
type absence struct {
	times int
	until time.Duration
}

// NewCore returns the rollout of a model by the holder named.
func NewCore(model, holder string, p Params) *Core {
	return &Core{params: p, holder: holder, model: model, targets: map[string]*target{}, away: map[string]absence{}, planned: map[string]uint64{}, loadTime: p.LoadTime}
}

// SetDesired sets the version to bring the replicas to. It never goes back.
func (c *Core) SetDesired(version uint64) { c.wanted = max(c.wanted, version) }

// Desired is the version that the replicas are brought to.
func (c *Core) Desired() uint64 { return c.wanted }

// leave gives the place of a replica that doesn't answer to another one. Dark
// replicas would otherwise hold all places until each of their calls has timed out,
// and those that run would serve old weights beyond the time allowed.
func (c *Core) leave(id string, now time.Duration) []Action {
	delete(c.targets, id)
	a := c.away[id]
	a.until = now + c.params.RetryBackoff<<min(a.times, maxAwayShift)
	a.times++
	c.away[id] = a
	return []Action{Publish{c.note(id, c.wanted, PhaseReleased, 0)}}
}

// NeedsOrders reports whether any replica is to be given an order.
func (c *Core) NeedsOrders(replicas []State) bool {
	for i := range replicas {
		if replicas[i].Version < c.wanted {
			return true
		}
	}
	return false
}

// Stop drops all that is under way: the lease is over, and whatever was ordered
// may or may not take place.
func (c *Core) Stop() {
	clear(c.targets)
	clear(c.planned)
}

// Active reports whether orders are under way.
func (c *Core) Active() bool { return len(c.targets) > 0 }

// Step returns what to do next under the fence.
func (c *Core) Step(now time.Duration, fence uint64, replicas []State) []Action {
	var actions []Action
	byID := make(map[string]*State, len(replicas))
	for i := range replicas {
		byID[replicas[i].Replica.ID] = &replicas[i]
	}
	for _, id := range c.ids() {
		actions = append(actions, c.advance(now, fence, c.targets[id], byID[id])...)
	}
	due := c.due(now, replicas)
	places := c.places(replicas)
	begun := max(0, min(places-len(c.targets), len(due)))
	actions = append(actions, c.begin(now, due[:begun])...)
	return append(actions, c.plan(due[begun:], places)...)
}

func (c *Core) ids() []string {
	ids := make([]string, 0, len(c.targets))
	for id := range c.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// advance moves one target on.
func (c *Core) advance(now time.Duration, fence uint64, t *target, s *State) []Action {
	if s == nil {
		delete(c.targets, t.replica.ID)
		delete(c.away, t.replica.ID)
		return nil
	}
	if s.Version >= t.version {
		if t.step == stepLoading && !t.refused {
			c.loaded(now - t.since)
		}
		delete(c.targets, t.replica.ID)
		// The reply to the order may say more of their number than records do.
		return []Action{Publish{c.note(t.replica.ID, s.Version, PhaseServing, max(t.orders, s.AcceptedOrders))}}
	}
	if now-t.started > c.params.LoadTimeout {
		return c.leave(t.replica.ID, now)
	}
	if now < t.next {
		return nil
	}
	switch t.step {
	case stepAnnounced, stepPaused:
		return c.give(now, fence, t, s)
	case stepLoading:
		if t.asked {
			return nil
		}
		t.asked = true
		return []Action{QueryState{Replica: t.replica}}
	}
	return nil
}

// give orders the newest version, which may have been named since the note. What runs
// goes on: waiting for it would leave a loaded replica without work for as long as
// its longest stream takes, and the others with that much more.
func (c *Core) give(now time.Duration, fence uint64, t *target, s *State) []Action {
	t.version = c.wanted
	t.orders = max(t.orders, s.AcceptedOrders)
	t.step, t.since = stepGiven, now
	t.tried, t.refused = t.orders, false
	return []Action{SendOrder{Order: fleet.Order{
		Replica: t.replica, Model: c.model, Version: t.version, Mode: fleet.ModeRetain,
		Holder: c.holder, Fence: fence, ExpectedOrders: t.orders,
	}}}
}

// due lists the replicas to take up, in order.
func (c *Core) due(now time.Duration, replicas []State) []*State {
	var due []*State
	for i := range replicas {
		s := &replicas[i]
		id := s.Replica.ID
		if s.Version < c.wanted && s.Reachable && c.targets[id] == nil && now >= c.away[id].until {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(a, b *State) int {
		// The oldest first: with versions in quick succession each new one would
		// otherwise send replicas that have just loaded round again, while one that was
		// passed over serves its old weights beyond the time allowed.
		if d := cmp.Compare(a.Version, b.Version); d != 0 {
			return d
		}
		if d := cmp.Compare(a.turn(), b.turn()); d != 0 {
			return d
		}
		if d := cmp.Compare(a.Running, b.Running); d != 0 {
			return d
		}
		return cmp.Compare(a.Replica.ID, b.Replica.ID)
	})
	return due
}

// plan tells all entries which replicas come next. Streams that would outlast their
// turn then go elsewhere, so that it finds them with little to finish; without that
// a replica stands idle for seconds while its last stream ends.
func (c *Core) plan(due []*State, places int) []Action {
	var actions []Action
	for _, s := range due[:min(places, len(due))] {
		id := s.Replica.ID
		if c.planned[id] >= c.wanted {
			continue
		}
		c.planned[id] = c.wanted
		n := c.note(id, c.wanted, PhasePlanned, 0)
		n.AfterMs = c.params.SlotDelay.Milliseconds()
		actions = append(actions, Publish{n})
	}
	return actions
}

// begin takes replicas up.
func (c *Core) begin(now time.Duration, due []*State) []Action {
	var actions []Action
	for _, s := range due {
		c.targets[s.Replica.ID] = &target{
			replica: s.Replica, version: c.wanted, orders: s.AcceptedOrders,
			step: stepAnnounced, since: now, started: now, next: now + c.params.PublishTimeout,
		}
		actions = append(actions, Publish{c.note(s.Replica.ID, c.wanted, PhaseOrdered, s.AcceptedOrders)})
	}
	return actions
}

// places is how many replicas may be out of service at once for their weights, of
// those that can be reached. One of several always serves on.
func (c *Core) places(replicas []State) int {
	reachable := 0
	for i := range replicas {
		if replicas[i].Reachable {
			reachable++
		}
	}
	whole := float64(c.loadTime)
	unheard := whole / (whole - float64(c.params.ReportLag))
	loads := int(math.Round(float64(reachable) * c.params.LoadShare * unheard))
	return max(1, min(loads, reachable-1))
}

// loaded learns from a load that was heard to be over some time after its order.
func (c *Core) loaded(took time.Duration) {
	took = min(max(took, 2*c.params.ReportLag), c.params.MaxLoadTime)
	c.loadTime += time.Duration(c.params.LearningRate * float64(took-c.loadTime))
}

func (c *Core) note(replica string, version uint64, phase Phase, orders uint64) Record {
	return Record{Holder: c.holder, Replica: replica, Model: c.model, Version: version, Phase: phase, AcceptedOrders: orders}
}

// RecordPublished says that the note about a replica's order is on the topic.
func (c *Core) RecordPublished(id string, now time.Duration) {
	if t := c.targets[id]; t != nil && t.step == stepAnnounced {
		t.next = now + c.params.PublishLead
	}
}

// OrderReplied takes a replica's reply to an order. After ReplyFenced the lease must be
// given up: another holder has a higher fence.
func (c *Core) OrderReplied(id string, reply fleet.Reply, now time.Duration) []Action {
	t := c.targets[id]
	if t == nil || t.step != stepGiven {
		return nil
	}
	switch reply {
	case fleet.ReplyAccepted:
		t.orders++
		t.step, t.next, t.asked = stepLoading, now+c.params.FirstPoll, false
	case fleet.ReplyConflict:
		t.refused = true
		t.step, t.next, t.asked = stepLoading, now, false
	case fleet.ReplyInForce, fleet.ReplyUnknown:
		// Its state tells: it may be loading for an order whose reply was lost.
		t.step, t.next, t.asked = stepLoading, now, false
	case fleet.ReplyFenced:
		c.Stop()
	case fleet.ReplyMisdirected, fleet.ReplyNotSent:
		return c.leave(id, now)
	default:
		t.step, t.next = stepPaused, now+c.params.RetryBackoff
	}
	return nil
}

// StateReported takes a replica's state. It returns the note to announce once the
// version is in force.
func (c *Core) StateReported(id string, r *fleet.Report, now time.Duration) []Action {
	t := c.targets[id]
	if t == nil || !t.asked {
		return nil
	}
	t.asked = false
	delete(c.away, id)
	t.orders = max(t.orders, r.AcceptedOrders)
	t.next = now + c.params.PollInterval
	if version := r.Weights[c.model]; version >= t.version && !r.Busy {
		c.loaded(now - t.since)
		delete(c.targets, id)
		return []Action{Publish{c.note(id, version, PhaseServing, t.orders)}}
	}
	// Not busy soon after the order may be older than the order. One that was refused
	// for its number began nothing: a giver that has just started knows no numbers, and
	// waiting would leave each replica without work in its turn for nothing.
	explained := t.refused && r.AcceptedOrders > t.tried
	if r.Busy || !explained && now-t.since < c.params.FirstPoll {
		return nil
	}
	t.step, t.next = stepPaused, now
	return nil
}

// QueryFailed says that a replica's state couldn't be read.
func (c *Core) QueryFailed(id string, now time.Duration) []Action {
	if c.targets[id] == nil {
		return nil
	}
	return c.leave(id, now)
}
