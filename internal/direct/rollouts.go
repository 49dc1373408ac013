package direct

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/lease"
	"skylarklead/internal/protocol"
	"skylarklead/internal/rollout"
	"skylarklead/internal/settings"
)

const (
	// topicEntries is the entries' own topic: leases and notes of rollouts.
	topicEntries = "skylark.entries"
	// giverLease is the lease of the right to give orders.
	giverLease = lease.Name("rollout")
	// activeTick and idleTick are the pauses between looks at the rollouts.
	activeTick = 25 * time.Millisecond
	idleTick   = time.Second
	// giverStays is how long others leave the lease to its last holder, whose orders
	// need no time to settle; giverSpread, and giverSpreadEach for each entry, spread the first
	// claims of all, so that the first one's is known to the others before their turn.
	giverStays      = 500 * time.Millisecond
	giverSpread     = 100 * time.Millisecond
	giverSpreadEach = 20 * time.Millisecond
	// giverLeaves is how long an entry that is shutting down leaves the lease to the
	// others. It takes it if they all are: a rolling restart of all entries takes
	// longer than weights may.
	giverLeaves = 700 * time.Millisecond
	// lastOrders is how long before its end such an entry gives the lease back, so
	// that its last order has its reply.
	lastOrders = 1200 * time.Millisecond
	// orderDelay is how long after its note an order is given at the latest, as a
	// rule.
	orderDelay = 300 * time.Millisecond
	// lastGiverFor is how long a holder counts as the last one.
	lastGiverFor = time.Minute
)

// leaseParams are for replicas that check fencing numbers: an old holder is refused
// by them, so that a short lease is safe.
var leaseParams = lease.Params{
	Duration: 2 * time.Second, Margin: 300 * time.Millisecond, RenewBefore: 1200 * time.Millisecond,
	OrderMargin: 400 * time.Millisecond, RetryMin: 50 * time.Millisecond, RetryMax: 400 * time.Millisecond,
	RestartReclaims: true,
}

// leaseParamsFor keeps two holders' orders apart by the platform's time where
// replicas take any fencing number.
func leaseParamsFor(d *settings.Direct) lease.Params {
	p := leaseParams
	if d.FencesChecked {
		return p
	}
	apart := d.Lease.D()
	p.Margin = apart / 3
	p.OrderMargin = apart - p.Margin
	p.Duration = p.OrderMargin + 2*time.Second
	p.RenewBefore = p.Duration - 700*time.Millisecond
	return p
}

// rollouts drives the changes of weights: it follows the entries' topic, and gives
// the orders while this entry holds the lease.
type rollouts struct {
	entry *Entry
	// self names this entry's machine in leases: a process of the same name and address
	// comes only after the one before it.
	self string
	wake chan struct{}
	// reread has the topic read now.
	reread chan struct{}
	follow func(context.Context)
	// active is set while something is to be brought up to date.
	active atomic.Bool

	mu          sync.Mutex
	leases      *lease.Leases
	cores       map[string]*rollout.Core
	dueSince    time.Duration
	lastGiver   string
	lastGiverAt time.Duration
	// foreignAt is when another holder's latest order was heard of.
	foreignAt time.Duration
	fence     uint64
	holds     bool
	// next is the offset at which the topic goes on after what was read.
	next uint64
}

func newRollouts(e *Entry) *rollouts {
	self := e.settings.ID + "@" + e.settings.Direct.Peers
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r := &rollouts{
		entry:  e,
		self:   self,
		wake:   make(chan struct{}, 1),
		reread: make(chan struct{}, 1),
		leases: lease.NewLeases(self, protocol.Epoch(e.tel.Epoch), leaseParamsFor(e.settings.Direct), rng),
		cores:  make(map[string]*rollout.Core),
	}
	r.follow = r.followEntries
	return r
}

// trigger has the rollouts looked at now.
func (r *rollouts) trigger() { trySignal(r.wake) }

// trySignal sends on a channel of one unless something is in it.
func trySignal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// followEntries reads the entries' topic. Leases number records from 1.
func (r *rollouts) followEntries(ctx context.Context) {
	f := r.entry.newFollower(topicEntries)
	f.readPause, f.skipPause = entriesReadPause, r.reread
	f.topicID = entriesTopicID
	f.readWaitFunc = r.readWait
	f.onRecord = r.take
	f.onGap = func(first uint64) {
		r.mu.Lock()
		r.next = first
		r.act(ctx, r.leases.Truncated(first+1, bootTime()))
		r.mu.Unlock()
	}
	f.onRestore = func(first uint64) {
		r.mu.Lock()
		r.next = first
		r.act(ctx, r.leases.LogRestored(first+1, bootTime()))
		r.mu.Unlock()
		r.entry.tel.Log.Warn("store is back from an older copy", "stream", topicEntries, "era", fleet.Era(first))
		r.entry.rewriteAnnouncements()
	}
	f.onCaughtUp = func() {
		r.mu.Lock()
		r.act(ctx, r.leases.CaughtUp(bootTime()))
		r.mu.Unlock()
	}
	f.run(ctx)
}

// readWait is how long a read of the topic waits for a record.
func (r *rollouts) readWait() time.Duration {
	if r.active.Load() && r.entry.hub == nil {
		return 0
	}
	return entriesReadWait
}

func (r *rollouts) take(record fleet.Record) {
	e := r.entry
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = record.Offset + 1
	envelope, err := rollout.Decode(record.Value)
	if err != nil {
		e.malformed.report("entries' record skipped", record, err)
		return
	}
	if envelope.Lease != nil {
		r.act(context.Background(), r.leases.ApplyRecord(record.Offset+1, envelope.Lease, bootTime()))
		if grant, held := r.leases.Table().Holder(giverLease); held {
			r.lastGiver, r.lastGiverAt = grant.Holder, r.entry.clock.now()
		}
		r.trigger()
		return
	}
	if envelope.Announcement != nil {
		r.entry.applyAnnouncement(envelope.Announcement)
		return
	}
	if envelope.Crash != nil {
		r.entry.heardStrike(envelope.Crash, topicEntries)
		return
	}
	r.hearNote(envelope.Rollout)
}

// hearNote takes another entry's note, or reads back one's own. The caller holds mu.
func (r *rollouts) hearNote(n *rollout.Record) {
	if n.Phase == rollout.PhaseOrdered && n.Holder != r.entry.settings.ID {
		r.foreignAt = r.entry.clock.now()
	}
	r.applyRecord(n)
}

// receiveRecords takes notes that a peer sent directly.
func (r *rollouts) receiveRecords(notes []rollout.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range notes {
		if notes[i].Valid() {
			r.hearNote(&notes[i])
		}
	}
}

// applyRecord applies a note to what is believed of a replica.
func (r *rollouts) applyRecord(n *rollout.Record) {
	e := r.entry
	s := e.state
	s.mu.Lock()
	news := s.board.ApplyRecord(n, e.clock.now())
	if news {
		s.feed.CacheCleared(n.Replica, e.clock.now())
	}
	if n.Phase == rollout.PhaseServing || n.Phase == rollout.PhaseReleased {
		s.notifyChanged()
	}
	s.mu.Unlock()
	e.tel.Log.Info("weights note", "replica", n.Replica, "model", n.Model, "version", n.Version,
		"phase", n.Phase.String(), "giver", n.Holder, "orders", n.AcceptedOrders, "news", news)
}

// run looks at the rollouts until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := idleTick
		active := r.step(ctx)
		r.active.Store(active)
		if active {
			pause = activeTick
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.wake:
		}
		timer.Stop()
	}
}

// step advances all rollouts; it reports whether there is something under way.
func (r *rollouts) step(ctx context.Context) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.entry.clock.now()
	due := r.states(now)
	if len(due) == 0 {
		r.dueSince = 0
		r.act(ctx, r.leases.Release(giverLease, bootTime()))
		return false
	}
	if r.dueSince == 0 {
		r.dueSince = now + r.patience(now)
	}
	if now < r.dueSince {
		return true
	}
	if r.entry.drain.endsWithin(lastOrders) {
		r.lost()
		r.act(ctx, r.leases.Release(giverLease, bootTime()))
		return true
	}
	r.act(ctx, r.leases.Acquire(giverLease, bootTime()))
	fence, ok := r.leases.Check(giverLease, bootTime())
	if !ok {
		r.lost()
		return true
	}
	if !r.holds || fence != r.fence {
		r.lost()
		r.holds, r.fence = true, fence
		r.entry.tel.Log.Info("giving orders", "fence", fence, "foreign_heard_ms_ago", (now - r.foreignAt).Milliseconds())
	}
	if r.foreignAt > 0 && now-r.foreignAt < r.entry.directSettings().Lease.D()+orderDelay {
		return true
	}
	for model, states := range due {
		r.drive(ctx, model, r.cores[model].Step(now, fence, states))
	}
	return true
}

// keeps reports whether this entry gives the orders still.
func (r *rollouts) keeps() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leases.HeldOrReleasing(giverLease)
}

// lost forgets what was under way when the lease ended.
func (r *rollouts) lost() {
	if !r.holds {
		return
	}
	r.holds = false
	for _, c := range r.cores {
		c.Stop()
	}
	r.entry.tel.Log.Info("no longer giving orders", "fence", r.fence)
}

// patience is how long to leave the lease to others.
func (r *rollouts) patience(now time.Duration) time.Duration {
	spread := rand.N(max(giverSpread, giverSpreadEach*time.Duration(r.entry.state.entryCount())))
	if r.entry.draining() {
		spread += giverLeaves
	}
	switch {
	case r.lastGiver == r.self:
		return 0
	case r.lastGiver != "" && now-r.lastGiverAt < lastGiverFor:
		return giverStays + spread
	}
	return spread
}

// states returns the replicas of each model that has some to bring up to date.
func (r *rollouts) states(now time.Duration) map[string][]rollout.State {
	s := r.entry.state
	s.mu.Lock()
	defer s.mu.Unlock()
	due := make(map[string][]rollout.State)
	for model, demand := range s.demands {
		c := r.cores[model]
		if c == nil {
			c = rollout.NewCore(model, r.entry.settings.ID, rollout.DefaultParams)
			r.cores[model] = c
		}
		c.SetDesired(demand.Newest())
		states := s.states(model, now)
		if c.NeedsOrders(states) || c.Active() {
			due[model] = states
		}
	}
	return due
}

// act carries out what the leases ask for. The caller holds mu.
func (r *rollouts) act(ctx context.Context, actions []lease.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Append:
			go r.appendLease(ctx, a, r.condition(a))
		case lease.Granted:
			r.entry.tel.Log.Info("lease granted", "lease", string(a.Name), "fence", a.Fence)
		case lease.Lost:
			r.entry.tel.Log.Warn("lease lost", "lease", string(a.Name))
		}
	}
}

// condition is where on the topic a record must land, nil for anywhere. A claim that
// another record came before is void, and makes the others' claims void that are on
// their way; with many entries none would get the lease. The caller holds mu.
func (r *rollouts) condition(a lease.Append) *uint64 {
	if !a.Claim {
		return nil
	}
	at := r.next
	return &at
}

func (r *rollouts) appendLease(ctx context.Context, a lease.Append, at *uint64) {
	envelope := rollout.Envelope{Lease: a.Data}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	_, err := r.entry.platform.Store.Append(ctx, topicEntries, at, [][]byte{envelope.Encode()})
	trySignal(r.reread)
	switch {
	case err == nil:
		return
	case errors.Is(err, fleet.ErrStoreConflict):
		r.entry.tel.Log.Info("lease not claimed, another record came first", "seq", a.Seq, "at", *at)
	default:
		r.entry.tel.Log.Warn("lease record not written", "seq", a.Seq, "error", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.act(ctx, r.leases.AppendFailed(a.Seq, bootTime()))
}

// drive carries out a rollout's actions. The caller holds mu.
func (r *rollouts) drive(ctx context.Context, model string, actions []rollout.Action) {
	var notes []rollout.Record
	for _, a := range actions {
		switch a := a.(type) {
		case rollout.Publish:
			notes = append(notes, a.Record)
		case rollout.SendOrder:
			go r.give(ctx, model, a.Order)
		case rollout.QueryState:
			go r.ask(ctx, model, a.Replica)
		}
	}
	if len(notes) > 0 {
		go r.publish(ctx, model, notes)
	}
}

// errLeaseOver says that the lease ended between a decision and its order.
var errLeaseOver = errors.New("direct: the lease is over")

// give sends an order, if the lease still holds right before.
func (r *rollouts) give(ctx context.Context, model string, o fleet.Order) {
	e := r.entry
	began := e.clock.now()
	reply, notice, err := fleet.ReplyNotSent, fleet.Notice{}, errLeaseOver
	if r.stillHolds(o.Fence) {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		reply, notice, err = e.platform.Replicas.Order(callCtx, &o)
		cancel()
	}
	e.applyNotice(o.Replica.ID, &notice, began, false)
	now := e.clock.now()
	attrs := []any{"replica", o.Replica.ID, "model", model, "version", o.Version, "fence", o.Fence,
		"expected", o.ExpectedOrders, "reply", reply.String(), "took_ms", ms(now - began)}
	if err != nil {
		attrs = append(attrs, "error", err)
	}
	e.tel.Log.Info("order", attrs...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drive(ctx, model, r.cores[model].OrderReplied(o.Replica.ID, reply, now))
	if reply == fleet.ReplyFenced {
		r.foreignAt = now
		r.act(ctx, r.leases.Release(giverLease, bootTime()))
	}
	r.trigger()
}

func (r *rollouts) stillHolds(fence uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held, ok := r.leases.Check(giverLease, bootTime())
	return ok && held == fence
}

// ask reads a replica's state.
func (r *rollouts) ask(ctx context.Context, model string, replica *fleet.Replica) {
	e := r.entry
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	asked := e.clock.now()
	report, notice, err := e.platform.Replicas.Report(callCtx, replica)
	cancel()
	notice.Leaving = notice.Leaving || report.Draining
	e.applyNotice(replica.ID, &notice, asked, false)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		e.tel.Log.Warn("replica gave no report", "replica", replica.ID, "error", err)
		r.drive(ctx, model, r.cores[model].QueryFailed(replica.ID, e.clock.now()))
		return
	}
	if !replica.Matches(report.StartedAtMs) {
		e.handleReplaced(replica, replica.Name, report.StartedAtMs)
		r.drive(ctx, model, r.cores[model].QueryFailed(replica.ID, e.clock.now()))
		return
	}
	r.drive(ctx, model, r.cores[model].StateReported(replica.ID, &report, e.clock.now()))
}
