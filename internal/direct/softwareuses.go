package direct

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/origin"
	"skylarklead/internal/rendezvous"
	"skylarklead/internal/wait"
)

const (
	// settleTimeout is how long an entry that starts may take to have the listed versions recorded before
	// it is ready: for requests other than streams, and streams at those that are.
	settleTimeout = time.Second
	// startPause is the pause of an entry that starts until it looks again whether the versions are recorded.
	startPause = 50 * time.Millisecond
)

// listUses records the uses of a listed replica. It reports whether one waits to be recorded. The caller
// holds mu.
func (s *state) listUses(r *fleet.Replica, now time.Duration) bool {
	waits := false
	for _, name := range useNamesOf(r) {
		waits = s.uses.Listed(name, now) || waits
	}
	return waits
}

// mayBegin reports whether a stream of a model may begin at a replica. One that was adopted may run any
// software until its record is read. While the store is down no record comes, and streams are served there all
// the same; they are announced as of unknown software. The caller holds mu.
func (s *state) mayBegin(r *fleet.Replica, model string) bool {
	if r.Software == "" {
		return s.storeDown.Load() && !s.uses.Isolated()
	}
	return s.uses.May(origin.SoftwareOf(r.Service, r.Software), model)
}

// softwareUses keeps in the store at which software versions streams may have begun. So an entry that has
// just started knows what one knows that has run all the while.
type softwareUses struct {
	entry *Entry
	// wake triggers a step.
	wake chan struct{}
	// begun is closed once the records have been read, and begun if no entry has ever run before.
	begun chan struct{}
	// started is set once the records have been read after the list. Nothing is written before.
	started atomic.Bool
	// settled is set once streams may begin at all versions that were listed at the start, or after
	// settleTimeout. The entry isn't ready before.
	settled atomic.Bool
	// uninformed is set until other entries have said what began before this one started, or none can;
	// startedInOutage if the store didn't answer then, here or at another entry that has just started.
	uninformed, startedInOutage atomic.Bool
	// aloneSince is when this entry went on though no other one could say what had begun; 0 for never.
	aloneSince atomic.Int64
	// failing is set while reads fail, so that they are logged once.
	failing atomic.Bool
	// pending is a read after which records may be removed; nil if there is none.
	pending *usesRead

	mu sync.Mutex
	// next is the read that streams wait for which were taken up since the last one began.
	next *usesRead
	last *usesRead
	// earliest is when the next one may begin.
	earliest time.Duration
}

func newSoftwareUses(e *Entry) *softwareUses {
	return &softwareUses{entry: e, wake: make(chan struct{}, 1), begun: make(chan struct{})}
}

// run records and removes uses until ctx ends.
func (u *softwareUses) run(ctx context.Context) {
	var start sync.WaitGroup
	defer start.Wait()
	start.Go(func() { u.start(ctx) })
	start.Go(func() { u.inform(ctx) })
	listedAt := time.Duration(0)
	for {
		in := sweepInterval
		u.entry.checkIsolation(u.entry.clock.now())
		if u.entry.state.listKnown() {
			now := u.entry.clock.now()
			if listedAt == 0 {
				listedAt = now
			}
			if u.started.Load() {
				in = u.step(ctx)
			} else if names := u.unrecorded(); len(names) > 0 {
				// The store may not answer, or only after its timeout.
				u.ask(names)
			}
			u.settled.Store(u.settled.Load() || len(u.unrecorded()) == 0 || u.entry.clock.now()-listedAt > settleTimeout)
		}
		if !u.settled.Load() {
			in = min(in, startPause)
		}
		select {
		case <-ctx.Done():
			return
		case <-u.wake:
		case <-time.After(in):
		}
	}
}

// start begins the records and reads them for the versions that are listed at the start: what is read before
// the list counts for none of its uses. Only then are records written, so that begin finds none of this entry.
func (u *softwareUses) start(ctx context.Context) {
	for err := u.begin(ctx); err != nil; err = u.begin(ctx) {
		// A conflict is another entry's write.
		if !errors.Is(err, fleet.ErrStoreConflict) {
			u.startedInOutage.Store(true)
		}
		if wait.For(ctx, verdictReadPause) != nil {
			return
		}
	}
	close(u.begun)
	for !u.entry.state.listKnown() || u.read(ctx).err != nil {
		if wait.For(ctx, startPause) != nil {
			return
		}
	}
	u.started.Store(true)
	trySignal(u.wake)
}

// unrecorded returns the listed uses at which streams may not begin.
func (u *softwareUses) unrecorded() []origin.UseName {
	e := u.entry
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	return e.state.uses.Unrecorded()
}

// begin reads the records. If the store has none, and no entry has ever registered, they are complete: no
// stream has begun. Entries register after this.
func (u *softwareUses) begin(ctx context.Context) error {
	r := u.read(ctx)
	if r.err != nil || r.end > 0 {
		return r.err
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := u.entry.platform.Store.Newest(callCtx, topicPeers)
	if err != nil || entries.Next > 0 {
		return err
	}
	if _, err := u.entry.platform.Store.PutAll(callCtx, topicSoftware, &r.end, []fleet.Record{encodeCompleteRecord(0)}); err != nil {
		return err
	}
	u.startedInOutage.Store(false)
	u.entry.tel.Log.Info("records of software versions begun")
	return nil
}

// step writes, asks for and removes what is due, and returns how long until the next step.
func (u *softwareUses) step(ctx context.Context) time.Duration {
	e := u.entry
	all := e.peers.allIDs()
	now := e.clock.now()
	asOf := time.Duration(e.state.listReadAt.Load())
	e.state.mu.Lock()
	due := e.state.uses.Due(asOf, now, func(key uint64) int { return rendezvous.Rank(key, e.settings.ID, all) })
	e.state.mu.Unlock()
	u.tell(due.Tell)
	if len(due.Ask) > 0 {
		u.ask(due.Ask)
	}
	if len(due.Write) > 0 {
		u.write(ctx, due.Write)
	}
	switch {
	case !due.Tidy:
		u.pending = nil
	case u.pending == nil:
		u.pending = u.read(ctx)
	case u.pending.err != nil:
		u.tidied(u.pending.err)
	case asOf >= u.pending.ended:
		u.tidied(u.tidy(ctx, u.pending, asOf))
	}
	if due.In > 0 {
		return min(due.In, sweepInterval)
	}
	return sweepInterval
}

// write records uses and announces them.
func (u *softwareUses) write(ctx context.Context, names []origin.UseName) {
	e := u.entry
	records := make([]fleet.Record, len(names))
	for i, name := range names {
		records[i] = encodeUseRecord(name, false)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	at, err := e.platform.Store.PutAll(ctx, topicSoftware, nil, records)
	if err != nil {
		e.tel.Metrics.Count("software_unrecorded", 1)
		e.tel.Log.Warn("software versions not written to the store", "versions", names, "error", err)
		return
	}
	e.tel.Log.Info("software versions written to the store", "versions", names)
	uses := make([]origin.Use, len(names))
	for i, name := range names {
		uses[i] = name.Use()
	}
	u.applyWritten(uses, fleet.Era(at))
	for _, m := range usesMessages(uses, fleet.Era(at)) {
		e.peers.origins.send(m, e.peers.addresses()...)
	}
}

// applyWritten records that uses were written to the store, and places the requests that wait for that.
func (u *softwareUses) applyWritten(uses []origin.Use, era uint64) {
	e := u.entry
	now := e.clock.now()
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	e.state.uses.EraBegan(era, now)
	news := false
	for _, use := range uses {
		news = e.state.uses.Written(use, era, now) || news
	}
	if news {
		e.state.notifyChanged()
		e.state.placeAllQueued(now)
	}
}

// tidy removes records, on the condition that none was written since a read.
func (u *softwareUses) tidy(ctx context.Context, r *usesRead, asOf time.Duration) error {
	e := u.entry
	e.state.mu.Lock()
	change := e.state.uses.Tidy(&r.evidence, asOf)
	e.state.mu.Unlock()
	if change.Empty() {
		return nil
	}
	var records []fleet.Record
	for _, use := range change.Close {
		records = append(records, encodeUseRecord(r.evidence.Uses[use].Name, true))
	}
	for _, use := range change.Remove {
		records = append(records, fleet.Record{Key: use.Key()})
	}
	if change.Complete {
		records = append(records, encodeCompleteRecord(r.evidence.Era))
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := e.platform.Store.PutAll(callCtx, topicSoftware, &r.end, records); err != nil {
		return err
	}
	e.tel.Log.Info("records of software versions tidied", "closing", len(change.Close), "removed", len(change.Remove), "complete", change.Complete)
	return u.read(ctx).err
}

// tidied ends an attempt to remove records.
func (u *softwareUses) tidied(err error) {
	e := u.entry
	u.pending = nil
	if err != nil {
		e.tel.Log.Warn("records of software versions not tidied", "error", err)
	}
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	e.state.uses.TidyFailed(e.clock.now())
}
