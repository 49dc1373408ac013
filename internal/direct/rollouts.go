package direct

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/fleet"
	"skylarklead/internal/lease"
	"skylarklead/internal/protocol"
	"skylarklead/internal/rollout"
	"skylarklead/internal/settings"
)

const (
	// topicEntries is the entries' own topic: leases, rollout records, version announcements
	// and crash counts.
	topicEntries = "skylark.entries"
	// orderLease is the lease whose holder may issue orders.
	orderLease = lease.Name("rollout")
	// activeInterval and idleInterval are the pauses between steps of the rollouts.
	activeInterval = 25 * time.Millisecond
	idleInterval   = time.Second
	// previousHolderHeadStart is how long other entries leave the lease to its previous holder,
	// which need not wait for another's orders to settle. claimSpread, and claimSpreadPerEntry
	// for each entry, spread first claims, so that the first one is known to the other entries
	// before they claim.
	previousHolderHeadStart = 500 * time.Millisecond
	claimSpread             = 100 * time.Millisecond
	claimSpreadPerEntry     = 20 * time.Millisecond
	// shutdownClaimDelay is how long an entry that is shutting down leaves the lease to other
	// entries. It claims it if all are shutting down: a rolling restart of all entries takes
	// longer than a change of weights may.
	shutdownClaimDelay = 700 * time.Millisecond
	// leaseReturnMargin is how long before it exits such an entry sends no more orders, so that the
	// calls of the last ones end and the store accepts the lease's return.
	leaseReturnMargin = callTimeout + 500*time.Millisecond
	// maxOrderDelay is the usual maximum time from a rollout record to its order.
	maxOrderDelay = 300 * time.Millisecond
	// previousHolderExpiry is how long a holder counts as the previous one.
	previousHolderExpiry = time.Minute
)

// clockReserve is added to the time between the orders of two holders, for clocks of different speed.
const clockReserve = 100 * time.Millisecond

// leaseParamsFor returns the parameters of the lease for orders. Where replicas check fencing numbers they
// refuse a former holder's orders, so that a short lease is safe; else the lease itself keeps the orders of
// two holders apart by the time that the platform sets.
func leaseParamsFor(d *settings.Direct) lease.Params {
	p := lease.Params{
		Duration: 2 * time.Second, Margin: 300 * time.Millisecond, RenewBefore: 1200 * time.Millisecond,
		OrderMargin: 400 * time.Millisecond, RetryMin: 50 * time.Millisecond, RetryMax: 400 * time.Millisecond,
		RestartReclaims: true, Apart: d.Lease.D() + clockReserve,
	}
	if d.FencesChecked {
		return p
	}
	p.MaxUse = callTimeout
	p.Margin = d.Lease.D() / 3
	p.OrderMargin = p.Apart + p.MaxUse - p.Margin
	p.Duration = p.OrderMargin + 2*time.Second
	p.RenewBefore = p.Duration - 700*time.Millisecond
	return p
}

// rollouts drives the rollouts of weights: it follows the entries' topic, and issues orders while
// this entry holds the lease.
type rollouts struct {
	entry *Entry
	// holderID identifies this entry in leases. A process with the same name and address starts
	// only after the one before it has ended.
	holderID string
	// wake triggers a step.
	wake chan struct{}
	// reread triggers a read of the topic.
	reread chan struct{}
	follow func(context.Context)
	// active is set while replicas are to be updated.
	active atomic.Bool

	mu     sync.Mutex
	leases *lease.Leases
	// cores holds the rollout of each model.
	cores map[string]*rollout.Core
	// claimAt is when this entry may claim the lease; 0 while nothing is to be updated.
	claimAt      time.Duration
	lastHolder   string
	lastHolderAt time.Duration
	// foreignOrderAt is when another holder's latest order was received.
	foreignOrderAt time.Duration
	// fence is the fencing number of the lease while issuing is set: this entry holds the lease and
	// issues orders.
	fence   uint64
	issuing bool
	// refusedFence is the highest fencing number under which an order was refused, since another holder
	// has a higher one.
	refusedFence uint64
	// publishing is how many appends of rollout records are under way.
	publishing int
	// nextOffset is the offset after the last record read from the topic.
	nextOffset uint64
	// caughtUp is set once the end of the topic was reached for the first time.
	caughtUp bool
	// caughtUpAt is when it was reached last.
	caughtUpAt time.Duration
}

func newRollouts(e *Entry) *rollouts {
	self := e.settings.ID + "@" + e.settings.Direct.Peers
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r := &rollouts{
		entry:    e,
		holderID: self,
		wake:     make(chan struct{}, 1),
		reread:   make(chan struct{}, 1),
		leases:   lease.NewLeases(self, protocol.Epoch(e.tel.Epoch), leaseParamsFor(e.settings.Direct), rng),
		cores:    make(map[string]*rollout.Core),
	}
	r.follow = r.followEntries
	return r
}

// trigger wakes run to do a step now.
func (r *rollouts) trigger() { trySignal(r.wake) }

// trySignal sends on a channel with a buffer of one unless the buffer is full.
func trySignal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// followEntries follows the entries' topic. Leases number records from 1, the topic from 0.
func (r *rollouts) followEntries(ctx context.Context) {
	f := r.entry.newFollower(topicEntries)
	f.readPause, f.skipPause = entriesReadPause, r.reread
	f.topicID = entriesTopicID
	f.readWaitFunc = r.readWait
	f.onRecord = r.applyStoreRecord
	f.onGap = func(first uint64) {
		r.mu.Lock()
		r.nextOffset = first
		r.applyLeaseActions(ctx, r.leases.Truncated(first+1, bootTime()))
		r.mu.Unlock()
		r.entry.verdicts.readAgain()
	}
	f.onRestore = func(first uint64) {
		r.mu.Lock()
		r.nextOffset = first
		r.applyLeaseActions(ctx, r.leases.LogRestored(first+1, bootTime()))
		r.mu.Unlock()
		r.entry.tel.Log.Warn("store restored from an older copy", "stream", topicEntries, "era", fleet.Era(first))
		r.entry.rewriteAnnouncements()
		r.entry.verdicts.forgetStored()
		r.entry.verdicts.readAgain()
	}
	f.onCaughtUp = func() {
		r.mu.Lock()
		if !r.caughtUp && fleet.Era(f.watermark.Next) > 0 {
			r.leases.HistoryDoubtful(bootTime())
		}
		r.caughtUp, r.caughtUpAt = true, r.entry.clock.now()
		r.applyLeaseActions(ctx, r.leases.CaughtUp(bootTime()))
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

// applyStoreRecord applies a record of the entries' topic.
func (r *rollouts) applyStoreRecord(record fleet.Record) {
	e := r.entry
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextOffset = record.Offset + 1
	envelope, err := rollout.Decode(record.Value)
	if err != nil {
		e.malformed.report("record of the entries' topic skipped", record, err)
		return
	}
	if envelope.Lease != nil {
		r.applyLeaseActions(context.Background(), r.leases.ApplyRecord(record.Offset+1, envelope.Lease, bootTime()))
		if grant, held := r.leases.Table().Holder(orderLease); held {
			r.lastHolder, r.lastHolderAt = grant.Holder, r.entry.clock.now()
		}
		r.trigger()
		return
	}
	if envelope.Announcement != nil {
		r.entry.applyAnnouncement(envelope.Announcement)
		return
	}
	if envelope.Crash != nil || envelope.Sound != nil {
		r.receiveCrash(envelope)
		return
	}
	r.receiveRecord(envelope.Rollout)
}

// receiveCrash counts a crash of the topic, or clears keys. The caller holds mu.
func (r *rollouts) receiveCrash(envelope *rollout.Envelope) {
	ago := envelope.WrittenAgo(time.Now())
	if r.caughtUp {
		// What the last read didn't have was written since, whatever the clocks of the machines say.
		ago = min(ago, r.entry.clock.now()-r.caughtUpAt)
	}
	switch {
	case envelope.Sound != nil:
		r.entry.receiveStoredSound(envelope.Sound, ago)
	case r.caughtUp:
		r.entry.receiveCrashes([]attempt.CrashReport{envelope.Crash.Aged(ago)}, topicEntries)
	default:
		r.entry.receivePastCrash(envelope.Crash.Aged(ago))
	}
}

// receiveRecord applies a rollout record, of another entry or read back. The caller holds mu.
func (r *rollouts) receiveRecord(record *rollout.Record) {
	if (record.Phase == rollout.PhaseOrdered || record.Phase == rollout.PhaseResent) && record.Holder != r.entry.settings.ID {
		r.foreignOrderAt = r.entry.clock.now()
	}
	r.applyRecord(record)
}

// receiveRecords applies rollout records that a peer sent in a message.
func (r *rollouts) receiveRecords(records []rollout.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range records {
		if records[i].Valid() {
			r.receiveRecord(&records[i])
		}
	}
}

// applyRecord applies a rollout record to what is known of its replica.
func (r *rollouts) applyRecord(record *rollout.Record) {
	e := r.entry
	s := e.state
	s.mu.Lock()
	changed := s.versionTracker.ApplyRecord(record, e.clock.now())
	if changed {
		s.picker.CacheCleared(record.Replica, e.clock.now())
	}
	if record.Phase == rollout.PhaseServing || record.Phase == rollout.PhaseReleased {
		s.notifyChanged()
	}
	s.mu.Unlock()
	e.tel.Log.Info("rollout record applied", "replica", record.Replica, "model", record.Model, "version", record.Version,
		"phase", record.Phase.String(), "giver", record.Holder, "orders", record.AcceptedOrders, "news", changed)
}

// run steps the rollouts until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := idleInterval
		active := r.step(ctx)
		r.active.Store(active)
		if active {
			pause = activeInterval
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

// step advances all rollouts; it reports whether one is under way.
func (r *rollouts) step(ctx context.Context) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.entry.clock.now()
	due := r.dueStates(now)
	if len(due) == 0 {
		r.claimAt = 0
		r.release(ctx)
		return false
	}
	if r.claimAt == 0 {
		r.claimAt = now + r.claimDelay(now)
	}
	if now < r.claimAt {
		return true
	}
	if r.entry.drain.endsWithin(leaseReturnMargin) {
		r.stopIssuing()
		r.release(ctx)
		return true
	}
	r.applyLeaseActions(ctx, r.leases.Acquire(orderLease, bootTime()))
	fence, ok := r.leases.Check(orderLease, bootTime())
	if !ok {
		r.stopIssuing()
		return true
	}
	if fence <= r.refusedFence {
		r.stopIssuing()
		r.release(ctx)
		return true
	}
	if !r.issuing || fence != r.fence {
		r.stopIssuing()
		r.issuing, r.fence = true, fence
		r.entry.tel.Log.Info("issuing orders", "fence", fence, "foreign_heard_ms_ago", (now - r.foreignOrderAt).Milliseconds())
	}
	if r.foreignOrderAt > 0 && now-r.foreignOrderAt < r.entry.directSettings().Lease.D()+maxOrderDelay {
		return true
	}
	for model, states := range due {
		r.applyActions(ctx, model, r.cores[model].Step(now, fence, states))
	}
	return true
}

// release returns the lease once all records of orders are in the topic, so that the next holder knows
// what the replicas were ordered to do. The caller holds mu.
func (r *rollouts) release(ctx context.Context) {
	if r.publishing == 0 {
		r.applyLeaseActions(ctx, r.leases.Release(orderLease, bootTime()))
	}
}

// keepsLease reports whether this entry holds the lease for orders or has not yet read back its
// release.
func (r *rollouts) keepsLease() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leases.HeldOrReleasing(orderLease)
}

// stopIssuing discards what was under way when the lease ended.
func (r *rollouts) stopIssuing() {
	if !r.issuing {
		return
	}
	r.issuing = false
	for _, c := range r.cores {
		c.Stop()
	}
	r.entry.tel.Log.Info("no longer issuing orders", "fence", r.fence)
}

// claimDelay is how long to leave the lease to other entries.
func (r *rollouts) claimDelay(now time.Duration) time.Duration {
	delay := rand.N(max(claimSpread, claimSpreadPerEntry*time.Duration(r.entry.state.entryCount())))
	if r.entry.draining() {
		delay += shutdownClaimDelay
	}
	switch {
	case r.lastHolder == r.holderID:
		return 0
	case r.lastHolder != "" && now-r.lastHolderAt < previousHolderExpiry:
		return previousHolderHeadStart + delay
	}
	return delay
}

// dueStates returns the replicas of each model that has some to update.
func (r *rollouts) dueStates(now time.Duration) map[string][]rollout.State {
	s := r.entry.state
	s.mu.Lock()
	defer s.mu.Unlock()
	due := make(map[string][]rollout.State)
	for model, history := range s.versionHistories {
		c := r.cores[model]
		if c == nil {
			c = rollout.NewCore(model, r.entry.settings.ID, rollout.DefaultParams)
			r.cores[model] = c
		}
		c.SetDesired(history.Newest())
		states := s.rolloutStates(model, now)
		if c.NeedsOrders(states) || c.Active() {
			due[model] = states
		}
	}
	return due
}

// applyLeaseActions executes what the leases request. The caller holds mu.
func (r *rollouts) applyLeaseActions(ctx context.Context, actions []lease.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Append:
			go r.appendLease(ctx, a, r.claimOffset(a))
		case lease.Granted:
			r.entry.tel.Log.Info("lease granted", "lease", string(a.Name), "fence", a.Fence, "usable_in_ms", a.Wait.Milliseconds())
		case lease.Lost:
			r.entry.tel.Log.Warn("lease lost", "lease", string(a.Name))
		}
	}
}

// claimOffset is the offset at which a record must be appended, nil for any. A claim that another
// record precedes is void, and would void the claims of other entries that are on their way; with
// many entries none would get the lease. The caller holds mu.
func (r *rollouts) claimOffset(a lease.Append) *uint64 {
	if !a.Claim {
		return nil
	}
	at := r.nextOffset
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
		r.entry.tel.Log.Info("lease claim failed: another record was appended first", "seq", a.Seq, "at", *at)
	default:
		r.entry.tel.Log.Warn("lease record not written to the store", "seq", a.Seq, "error", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyLeaseActions(ctx, r.leases.AppendFailed(a.Seq, bootTime()))
}

// applyActions executes a rollout's actions. The caller holds mu.
func (r *rollouts) applyActions(ctx context.Context, model string, actions []rollout.Action) {
	var records []rollout.Record
	for _, a := range actions {
		switch a := a.(type) {
		case rollout.Publish:
			records = append(records, a.Record)
		case rollout.SendOrder:
			go r.sendOrder(ctx, model, a.Order)
		case rollout.QueryState:
			go r.requestReport(ctx, model, a.Replica)
		}
	}
	if len(records) > 0 {
		r.publishing++
		go func() {
			r.publish(ctx, model, records)
			r.mu.Lock()
			r.publishing--
			r.mu.Unlock()
			r.trigger()
		}()
	}
}
