package direct

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/platform"
	"skylarklead/internal/spread"
)

const (
	// callTimeout bounds a call that doesn't wait: many times the store's usual
	// answer, and a fraction of the seconds within which a change must be in force.
	callTimeout = time.Second
	// maxPause bounds the pause between tries while the store doesn't answer, so
	// that what was missed is known soon after it is back.
	maxPause = 400 * time.Millisecond
	// operatorWait is how long a read for the operator's changes waits. A connection
	// that has gone silent is noticed at its end and a call's own time: both together
	// must be less than the three seconds of calm after which an entry is held to what
	// the store has acknowledged.
	operatorWait = 1500 * time.Millisecond
	// replicasReadWait is like operatorWait for the replicas' records, replicasEvery the
	// least pause between reads: after a crash of many their records come in a burst.
	// It grows with the entries, as each change wakes them all, up to replicasMost, a
	// third of the time in which a leaving replica must be left alone.
	replicasReadWait     = operatorWait
	replicasReadPause    = 40 * time.Millisecond
	maxReplicasReadPause = 700 * time.Millisecond
	// sharedReplicasReadPause is that pause where few entries read for all: a rollout over hundreds of
	// replicas changes some thirty records a second, and what must be known sooner comes by
	// other ways.
	sharedReplicasReadPause = 150 * time.Millisecond
	// entriesReadPause is the pause between reads of the entries' own topic. Notes come
	// from peers at once, and are read there if a datagram was lost; what an entry
	// appends itself it reads back at once.
	entriesReadPause = 1200 * time.Millisecond
	// entriesReadWait is how long a read of that topic waits for a record while no rollout
	// is under way, which is most of the time: one read in 4.2 s in place of 1.2. A silent
	// connection hides a holder's renewals for as long, which matters to none then.
	entriesReadWait = 3 * time.Second
)

// follower keeps up with one topic: it reads the store and, where entries pass on what
// that says (hub), takes what peers have read.
type follower struct {
	topic string
	// keyed topics are read whole at the start and wherever records are missing.
	keyed bool
	// readWait is how long a read waits for a record, readPause the pause after one that brought
	// some.
	readWait, readPause time.Duration
	// onSnapshot takes all keys at once, record one change, caughtUp the end of a read
	// that reached the end, skipped the oldest offset where earlier ones are gone.
	onSnapshot func(fleet.Page)
	onRecord   func(fleet.Record)
	onCaughtUp func()
	onGap      func(first uint64)
	// onRestore is called, before anything of a new era of the store is taken, with the position
	// from which on it is read.
	onRestore func(first uint64)

	store fleet.Store
	pacer platform.Pacer
	// boot is bootTime, or what stands for it in tests.
	boot func() time.Duration
	// hub is where the entry's topics are passed on, nil where it reads all for itself;
	// number is the topic's there, limit how old what is known may be.
	hub     *hub
	topicID int
	limit   time.Duration
	// wake says that a read may be due.
	wake chan struct{}
	// failures counts reads without an answer in a row.
	failures int
	// readPauseFunc returns the readPauseFunc between reads where it varies, waits how long they wait;
	// nil for every and wait.
	readPauseFunc func() time.Duration
	readWaitFunc  func() time.Duration
	// skipPause cuts a pause between reads short; nil for none.
	skipPause <-chan struct{}
	// onRead is called with each reading that makes what is known younger, failed after
	// each call without an answer with when that was made, unless peers know meanwhile.
	onRead       func(spread.Read)
	onReadFailed func(made time.Time)

	// mu guards the rest and is held while records are taken.
	mu     sync.Mutex
	belief spread.Watermark
	tail   *spread.Tail
	// reread is set where a keyed topic must be read whole again, and one without keys from
	// the store since no peer has enough of it; begun once the topic was read for the first time.
	reread, begun bool
}

func (e *Entry) newFollower(topic string) *follower {
	f := newFollower(e.platform.Store, topic, e.tel.Log)
	f.hub, f.boot = e.hub, e.bootClock
	return f
}

func newFollower(store fleet.Store, topic string, log *slog.Logger) *follower {
	f := &follower{
		store: store, topic: topic, boot: bootTime, wake: make(chan struct{}, 1),
		pacer: platform.Pacer{Logger: log, Stream: topic, MaxBackoff: maxPause},
	}
	nothing := func() {}
	f.onCaughtUp = nothing
	f.onRead = func(spread.Read) {}
	f.onReadFailed = func(time.Time) {}
	f.onGap = func(uint64) {}
	f.onRestore = func(uint64) {}
	return f
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	f.mu.Lock()
	f.belief = spread.NewWatermark(f.boot())
	f.tail = spread.NewTail(f.keyed)
	f.mu.Unlock()
	if f.hub != nil {
		f.hub.attach(f)
	}
	for f.await(ctx) {
		if f.hub != nil {
			f.hub.reads()
		}
		made := time.Now()
		err := f.step(ctx)
		if err == nil {
			f.failures = 0
			continue
		}
		if ctx.Err() == nil {
			f.failures++
			f.missed(made)
			f.pacer.AfterFailure(ctx, err)
		}
	}
}

// await returns when a read of the store is due; false once ctx has ended.
func (f *follower) await(ctx context.Context) bool {
	for f.hub != nil && !f.hub.due(f) {
		select {
		case <-ctx.Done():
			return false
		case <-f.skipPause:
			return true
		case <-f.wake:
		}
	}
	return ctx.Err() == nil
}

// missed takes a call without an answer. It says nothing while peers pass on what the
// store tells them: then it is this entry that the store doesn't answer.
func (f *follower) missed(made time.Time) {
	if f.hub != nil {
		f.hub.missed()
		if f.age() < f.limit {
			return
		}
	}
	f.onReadFailed(made)
}

func (f *follower) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.belief.Age(f.boot())
}

func (f *follower) step(ctx context.Context) error {
	f.mu.Lock()
	whole := f.keyed && (f.reread || !f.belief.Known)
	f.mu.Unlock()
	if whole {
		return f.readWhole(ctx)
	}
	return f.readOn(ctx)
}

// patience is how long a read may wait for a record, and in all. A call that begins
// in an outage may hang to its end although the outage is over; so none of those is
// given long. Their time grows and begins anew, for a store that is only slow.
func (f *follower) patience() (wait, all time.Duration) {
	if f.failures == 0 {
		wait = f.readWait
		if f.readWaitFunc != nil {
			wait = f.readWaitFunc()
		}
		if f.hub != nil {
			wait = f.hub.patience(f, wait)
		}
		return wait, wait + callTimeout
	}
	return 0, callTimeout / 2 << ((f.failures - 1) % 3)
}

func (f *follower) readWhole(ctx context.Context) error {
	_, all := f.patience()
	ctx, cancel := context.WithTimeout(ctx, all)
	defer cancel()
	made := f.boot()
	page, err := f.store.Newest(ctx, f.topic)
	if err != nil {
		return err
	}
	f.mu.Lock()
	begins := !f.begun
	f.mu.Unlock()
	f.takeWhole(page, f.reading(page.Next, made), ownCall)
	if begins && f.hub != nil && promised(f.topicID) && fleet.Era(page.Next) > 0 {
		go f.hub.askBefore(f)
	}
	f.pacer.AfterSuccess(ctx, len(page.Records), 0, 0)
	return nil
}

// reading is what an answer that has just come to a call of this entry shows.
func (f *follower) reading(next uint64, made time.Duration) spread.Read {
	r := spread.Read{Next: next, CalledAt: made, AnsweredAt: f.boot()}
	if f.hub != nil {
		f.hub.served()
		r.Reader = f.hub.self.ID
	}
	return r
}

func (f *follower) readOn(ctx context.Context) error {
	began, made := time.Now(), f.boot()
	waited, _ := f.patience()
	page, err := f.read(ctx, waited)
	if errors.Is(err, fleet.ErrStoreExpired) || errors.Is(err, fleet.ErrStoreRewound) {
		f.restart(page.First)
		return nil
	}
	if err != nil {
		return err
	}
	r := f.reading(page.Next, made)
	if page.Next < page.End {
		// There is more: nothing is known yet of what was written before the call.
		r.CalledAt = 0
	}
	f.take(page.Next-uint64(len(page.Records)), page.Records, r, ownCall)
	f.pacer.AfterSuccess(ctx, len(page.Records), waited, time.Since(began))
	if f.hub == nil || len(page.Records) > 0 {
		f.rest(ctx)
	}
	return nil
}

// rest pauses between reads.
func (f *follower) rest(ctx context.Context) {
	every := f.readPause
	if f.readPauseFunc != nil {
		every = f.readPauseFunc()
	}
	if every <= 0 {
		return
	}
	timer := time.NewTimer(every)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.skipPause:
	}
}

func (f *follower) read(ctx context.Context, wait time.Duration) (fleet.Page, error) {
	_, all := f.patience()
	ctx, cancel := context.WithTimeout(ctx, all)
	defer cancel()
	f.mu.Lock()
	from := f.belief.Next
	f.mu.Unlock()
	return f.store.Read(ctx, f.topic, from, wait)
}

// ownCall stands for the store where a peer's address says who passed records on.
var ownCall netip.AddrPort

// takeWhole takes the newest record of all keys from a peer or a call of this entry's own,
// unless more is known already.
func (f *follower) takeWhole(page fleet.Page, r spread.Read, from netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.belief.Known && page.Next < f.belief.Next {
		return
	}
	f.onRead(r)
	if f.belief.Known && fleet.Era(page.Next) > fleet.Era(f.belief.Next) {
		f.onRestore(page.Next)
		f.tail.StoreRestored(f.boot())
	}
	f.onSnapshot(page)
	f.tail.Reset(page.Records, page.Next)
	f.belief.Advance(page.Next)
	f.belief.Confirm(r)
	f.reread, f.begun = false, true
	if f.hub != nil {
		f.hub.news(f, page.Next, nil, from)
	}
}

// takeBefore takes records of earlier eras, which the store's copy may lack. They say nothing
// of how far the topic is known.
func (f *follower) takeBefore(records []fleet.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, record := range records {
		if fleet.Era(record.Offset) < fleet.Era(f.belief.Next) {
			f.onRecord(record)
		}
	}
}

// take takes records that follow each other from an offset on, as far as they are new and
// leave no gap, and the reading that brought them, from a peer or a call of this entry's
// own; one with Made 0 confirms nothing. It reports whether all that the reading speaks of is
// known now.
func (f *follower) take(from uint64, records []fleet.Record, r spread.Read, by netip.AddrPort) bool {
	own := by == ownCall
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.belief.Known && (f.keyed || !own) {
		return false // it begins with a whole topic, or where a peer's records do
	}
	if own && !f.begun && f.belief.Next == 0 {
		f.belief.Advance(from) // the beginning of the store's era
		f.tail.Reset(nil, from)
	}
	next := f.belief.Next
	fresh := records[min(uint64(len(records)), max(from, next)-from):]
	if from > next {
		fresh = nil
	}
	covers := next+uint64(len(fresh)) >= r.Next
	if own || covers && r.CalledAt > f.belief.LastRead().CalledAt {
		f.onRead(r)
	}
	for _, record := range fresh {
		f.onRecord(record)
		f.tail.Append(record, f.boot())
	}
	f.belief.Advance(next + uint64(len(fresh)))
	f.begun = true
	if own && !f.keyed {
		f.reread = false
	}
	if f.belief.Confirm(r) {
		f.onCaughtUp()
	}
	if f.hub != nil && len(fresh) > 0 {
		f.hub.news(f, next, fresh, by)
	}
	return covers
}

// begin has a topic without keys that isn't known begin at an offset, with a peer's records.
func (f *follower) begin(first uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.belief.Known {
		return
	}
	f.belief.Advance(first)
	f.tail.Reset(nil, first)
	if first > 0 {
		f.onGap(first)
	}
}

// askStore has a topic read from the store since no peer can give it.
func (f *follower) askStore() {
	f.mu.Lock()
	f.reread = true
	f.mu.Unlock()
	trySignal(f.wake)
}

// restart goes on where records are gone: with all keys, or from the oldest record.
func (f *follower) restart(first uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reread = f.keyed
	if f.keyed {
		return
	}
	again := fleet.Era(first) > fleet.Era(f.belief.Next)
	f.belief.Advance(max(f.belief.Next, first))
	f.tail.Reset(nil, f.belief.Next)
	if again {
		f.onRestore(f.belief.Next)
	} else {
		f.onGap(f.belief.Next)
	}
}
