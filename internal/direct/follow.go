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
	// callTimeout bounds a call that does not wait for records: many times the store's usual
	// response time, and a fraction of the seconds within which a change must be in force.
	callTimeout = time.Second
	// maxRetryPause bounds the pause between retries while the store does not answer, so that
	// missed records are read soon after its return.
	maxRetryPause = 400 * time.Millisecond
	// operatorReadWait is how long a read of the operator's topic waits for a record. A connection
	// that has gone silent is noticed after this wait and callTimeout; together they must be less
	// than the three seconds for which the store must have answered an entry before the
	// platform holds the entry to acknowledged records.
	operatorReadWait = 1500 * time.Millisecond
	// replicasReadWait is the same for the replicas' topic, replicasPause the least pause between
	// its reads: after a crash of many replicas their records arrive in a burst. The pause grows
	// with the number of entries, because each change wakes them all, up to maxReplicasPause, a
	// third of the time within which a leaving replica must get no more requests.
	replicasReadWait = operatorReadWait
	replicasPause    = 40 * time.Millisecond
	maxReplicasPause = 700 * time.Millisecond
	// sharedReplicasPause is that pause if a few entries read for all. A rollout over hundreds of
	// replicas changes some thirty records a second, and the entries learn of urgent changes in
	// other ways.
	sharedReplicasPause = 150 * time.Millisecond
	// entriesReadPause is the pause between reads of the entries' own topic. Rollout records come
	// from peers at once and are read from the store only if a datagram was lost. After an append
	// the entry skips the pause to read its own record back.
	entriesReadPause = 1200 * time.Millisecond
	// entriesReadWait is how long a read of the entries' topic waits for a record while no rollout
	// is under way, which is most of the time: one read in 4.2 s instead of one in 1.2 s. A
	// connection that has gone silent hides lease renewals for as long, which is harmless without a
	// rollout.
	entriesReadWait = 3 * time.Second
)

// follower tracks one topic. It reads the store and, if the entries share their reads (hub),
// applies what peers have read.
type follower struct {
	topic string
	// A keyed topic is read as a snapshot at the start and after any gap.
	keyed bool
	// readWait is how long a read waits for a record, readPause the pause after a read that
	// returned some.
	readWait, readPause time.Duration
	// onSnapshot applies the newest records of all keys, onRecord one record. onCaughtUp is called
	// after a read that reached the end of the topic, onGap with the oldest available offset if
	// earlier records are gone.
	onSnapshot func(fleet.Page)
	onRecord   func(fleet.Record)
	onCaughtUp func()
	onGap      func(first uint64)
	// onRestore is called when the store was restored from an older copy (a new era), before any
	// record of that era is applied, with the offset from which the topic is read.
	onRestore func(first uint64)

	store fleet.Store
	pacer platform.Pacer
	// boot is bootTime, or a replacement in tests.
	boot func() time.Duration
	// hub shares reads among the entries; nil if this entry reads every topic from the store
	// itself. topicID is the topic's ID there, maxAge its maximum staleness.
	hub     *hub
	topicID int
	maxAge  time.Duration
	// wake signals that a read may be due.
	wake chan struct{}
	// failures counts consecutive failed reads.
	failures int
	// readPauseFunc returns the pause between reads if it varies, readWaitFunc how long reads wait;
	// nil to use readPause and readWait.
	readPauseFunc func() time.Duration
	readWaitFunc  func() time.Duration
	// skipPause ends a pause between reads; nil if nothing does.
	skipPause <-chan struct{}
	// onRead is called with each read of this entry, and with each read of a peer that makes the
	// known state fresher. onReadFailed is called with the time of each failed call, unless peers
	// have fresh data meanwhile.
	onRead       func(spread.Read)
	onReadFailed func(made time.Time)

	// mu guards the fields below and is held while records are applied.
	mu        sync.Mutex
	watermark spread.Watermark
	tail      *spread.Tail
	// reload is set if a keyed topic must be read as a snapshot again, or if a topic without keys
	// must be read from the store because no peer has enough of it. loaded is set once the topic
	// has been read for the first time.
	reload, loaded bool
}

func (e *Entry) newFollower(topic string) *follower {
	f := newFollower(e.platform.Store, topic, e.tel.Log)
	f.hub, f.boot = e.hub, e.bootClock
	return f
}

func newFollower(store fleet.Store, topic string, log *slog.Logger) *follower {
	f := &follower{
		store: store, topic: topic, boot: bootTime, wake: make(chan struct{}, 1),
		pacer: platform.Pacer{Logger: log, Stream: topic, MaxBackoff: maxRetryPause},
	}
	nothing := func() {}
	f.onCaughtUp = nothing
	f.onRead = func(spread.Read) {}
	f.onReadFailed = func(time.Time) {}
	f.onGap = func(uint64) {}
	f.onRestore = func(uint64) {}
	return f
}

// run follows the topic until ctx ends.
func (f *follower) run(ctx context.Context) {
	f.mu.Lock()
	f.watermark = spread.NewWatermark(f.boot())
	f.tail = spread.NewTail(f.keyed)
	f.mu.Unlock()
	if f.hub != nil {
		f.hub.attach(f)
	}
	for f.await(ctx) {
		if f.hub != nil {
			f.hub.countRead()
		}
		made := time.Now()
		err := f.readOnce(ctx)
		if err == nil {
			f.failures = 0
			continue
		}
		if ctx.Err() == nil {
			f.failures++
			f.handleReadFailure(made)
			f.pacer.AfterFailure(ctx, err)
		}
	}
}

// await blocks until a read of the store is due. It returns false once ctx has ended.
func (f *follower) await(ctx context.Context) bool {
	for f.hub != nil && !f.hub.readDue(f) {
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

// handleReadFailure handles a failed call to the store. The failure is not reported while peers
// provide fresh data: then the store fails for this entry only.
func (f *follower) handleReadFailure(made time.Time) {
	if f.hub != nil {
		f.hub.storeFailed()
		f.hub.fetchFromAny(f)
		if f.age() < f.maxAge {
			return
		}
	}
	f.onReadFailed(made)
}

func (f *follower) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watermark.Age(f.boot())
}

func (f *follower) readOnce(ctx context.Context) error {
	f.mu.Lock()
	snapshot := f.keyed && (f.reload || !f.watermark.Known)
	f.mu.Unlock()
	if snapshot {
		return f.readSnapshot(ctx)
	}
	return f.readNext(ctx)
}

// readTimeouts returns how long a read may wait for a record, and its timeout. A call that begins
// during an outage may hang until its timeout even if the outage ends meanwhile, so the timeouts
// after a failure are short. They grow and start over, for a store that is merely slow.
func (f *follower) readTimeouts() (wait, timeout time.Duration) {
	if f.failures == 0 {
		wait = f.readWait
		if f.readWaitFunc != nil {
			wait = f.readWaitFunc()
		}
		if f.hub != nil {
			wait = f.hub.readWait(f, wait)
		}
		return wait, wait + callTimeout
	}
	return 0, callTimeout / 2 << ((f.failures - 1) % 3)
}

func (f *follower) readSnapshot(ctx context.Context) error {
	_, timeout := f.readTimeouts()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	made := f.boot()
	page, err := f.store.Newest(ctx, f.topic)
	if err != nil {
		return err
	}
	f.mu.Lock()
	begins := !f.loaded
	f.mu.Unlock()
	f.applySnapshot(page, f.ownRead(page.Next, made), fromStore)
	if begins && f.hub != nil && mustBeFresh(f.topicID) && fleet.Era(page.Next) > 0 {
		go f.hub.fetchPreRestore(f)
	}
	f.pacer.AfterSuccess(ctx, len(page.Records), 0, 0)
	return nil
}

// ownRead returns the read for an answer that this entry has just received from the store.
func (f *follower) ownRead(next uint64, made time.Duration) spread.Read {
	r := spread.Read{Next: next, CalledAt: made, AnsweredAt: f.boot()}
	if f.hub != nil {
		f.hub.storeAnswered()
		r.Reader = f.hub.self.ID
	}
	return r
}

func (f *follower) readNext(ctx context.Context) error {
	began, made := time.Now(), f.boot()
	waited, _ := f.readTimeouts()
	page, err := f.readStore(ctx, waited)
	if errors.Is(err, fleet.ErrStoreExpired) || errors.Is(err, fleet.ErrStoreRestored) {
		f.resumeAfterGap(page.First)
		return nil
	}
	if err != nil {
		return err
	}
	r := f.ownRead(page.Next, made)
	if page.Next < page.End {
		// There are more records: the time before which all are known stays unconfirmed.
		r.CalledAt = 0
	}
	f.applyRecords(page.Next-uint64(len(page.Records)), page.Records, r, fromStore)
	f.pacer.AfterSuccess(ctx, len(page.Records), waited, time.Since(began))
	if f.hub == nil || len(page.Records) > 0 {
		f.pauseReads(ctx)
	}
	return nil
}

// pauseReads waits for the pause between reads.
func (f *follower) pauseReads(ctx context.Context) {
	pause := f.readPause
	if f.readPauseFunc != nil {
		pause = f.readPauseFunc()
	}
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.skipPause:
	}
}

func (f *follower) readStore(ctx context.Context, wait time.Duration) (fleet.Page, error) {
	_, timeout := f.readTimeouts()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f.mu.Lock()
	from := f.watermark.Next
	f.mu.Unlock()
	return f.store.Read(ctx, f.topic, from, wait)
}

// fromStore is the sender of records that this entry read from the store itself.
var fromStore netip.AddrPort

// applySnapshot applies the newest record of each key, from a peer or from the store, unless the
// follower already knows more.
func (f *follower) applySnapshot(page fleet.Page, r spread.Read, from netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watermark.Known && page.Next < f.watermark.Next {
		return
	}
	f.onRead(r)
	if f.watermark.Known && fleet.Era(page.Next) > fleet.Era(f.watermark.Next) {
		f.onRestore(page.Next)
		f.tail.StoreRestored(f.boot())
	}
	f.onSnapshot(page)
	f.tail.Reset(page.Records, page.Next)
	f.watermark.Advance(page.Next)
	f.watermark.Confirm(r)
	f.reload, f.loaded = false, true
	if f.hub != nil {
		f.hub.sendUpdate(f, page.Next, nil, from)
	}
}

// applyPreRestore applies records of earlier eras, which the restored store may lack. They do not
// change the known offset.
func (f *follower) applyPreRestore(records []fleet.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, record := range records {
		if fleet.Era(record.Offset) < fleet.Era(f.watermark.Next) {
			f.onRecord(record)
		}
	}
}

// applyRecords applies consecutive records from an offset on, as far as they are new and leave no
// gap, and the read that returned them, from a peer or from the store. A read with CalledAt 0
// confirms nothing. It reports whether everything below the read's offset is known now.
func (f *follower) applyRecords(from uint64, records []fleet.Record, r spread.Read, sender netip.AddrPort) bool {
	fromOwnRead := sender == fromStore
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.watermark.Known && (f.keyed || !fromOwnRead) {
		return false // it begins with a snapshot, or where a peer's records begin
	}
	if fromOwnRead && !f.loaded && f.watermark.Next == 0 {
		f.watermark.Advance(from) // the beginning of the store's era
		f.tail.Reset(nil, from)
	}
	next := f.watermark.Next
	unseen := records[min(uint64(len(records)), max(from, next)-from):]
	if from > next {
		unseen = nil
	}
	covers := next+uint64(len(unseen)) >= r.Next
	if fromOwnRead || covers && r.CalledAt > f.watermark.LastRead().CalledAt {
		f.onRead(r)
	}
	for _, record := range unseen {
		f.onRecord(record)
		f.tail.Append(record, f.boot())
	}
	f.watermark.Advance(next + uint64(len(unseen)))
	f.loaded = true
	if fromOwnRead && !f.keyed {
		f.reload = false
	}
	if f.watermark.Confirm(r) {
		f.onCaughtUp()
	}
	if f.hub != nil && len(unseen) > 0 {
		f.hub.sendUpdate(f, next, unseen, sender)
	}
	return covers
}

// startAt makes a topic without keys, of which nothing is known, begin at the offset of a peer's
// records.
func (f *follower) startAt(first uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watermark.Known {
		return
	}
	f.watermark.Advance(first)
	f.tail.Reset(nil, first)
	if first > 0 {
		f.onGap(first)
	}
}

// requestStoreRead requests a read from the store because no peer can provide the topic.
func (f *follower) requestStoreRead() {
	f.mu.Lock()
	f.reload = true
	f.mu.Unlock()
	trySignal(f.wake)
}

// resumeAfterGap resumes after records were lost: a keyed topic with a snapshot, any other at the
// oldest available offset.
func (f *follower) resumeAfterGap(first uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reload = f.keyed
	if f.keyed {
		return
	}
	restored := fleet.Era(first) > fleet.Era(f.watermark.Next)
	f.watermark.Advance(max(f.watermark.Next, first))
	f.tail.Reset(nil, f.watermark.Next)
	if restored {
		f.onRestore(f.watermark.Next)
	} else {
		f.onGap(f.watermark.Next)
	}
}
