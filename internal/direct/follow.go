package direct

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/platform"
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
	// replicasWait is like operatorWait for the replicas' records, replicasEvery the
	// least pause between reads: after a crash of many their records come in a burst.
	// It grows with the entries, as each change wakes them all, up to replicasMost, a
	// third of the time in which a leaving replica must be left alone.
	replicasWait  = operatorWait
	replicasEvery = 40 * time.Millisecond
	replicasMost  = 700 * time.Millisecond
	// entriesEvery is the pause between reads of the entries' own topic. Notes come
	// from peers at once, and are read there if a datagram was lost; what an entry
	// appends itself it reads back at once.
	entriesEvery = 1200 * time.Millisecond
	// entriesWait is how long a read of that topic waits for a record while no rollout
	// is under way, which is most of the time: one read in 4.2 s in place of 1.2. A silent
	// connection hides a holder's renewals for as long, which matters to none then.
	entriesWait = 3 * time.Second
)

// follower keeps up with one topic of the store.
type follower struct {
	topic string
	// keyed topics are read whole at the start and wherever records are missing.
	keyed bool
	// wait is how long a read waits for a record, every the pause between reads.
	wait, every time.Duration
	// whole takes all keys at once, record one change, caughtUp the end of a read
	// that reached the end, skipped the oldest offset where earlier ones are gone.
	whole    func(fleet.Page)
	record   func(fleet.Record)
	caughtUp func()
	skipped  func(first uint64)

	store fleet.Store
	pacer platform.Pacer
	next  uint64
	// failures counts reads without an answer in a row.
	failures int
	// known is set once all keys were read, begun once they were for the first time.
	known, begun bool
	// pause returns the pause between reads where it varies, waits how long they wait;
	// nil for every and wait.
	pause func() time.Duration
	waits func() time.Duration
	// poke cuts a pause between reads short; nil for none.
	poke <-chan struct{}
	// reached is called after each answer, failed after each call without one with
	// when that was made.
	reached func()
	failed  func(made time.Time)
}

func newFollower(store fleet.Store, topic string, log *slog.Logger) *follower {
	f := &follower{
		store: store, topic: topic,
		pacer: platform.Pacer{Logger: log, Stream: topic, MaxPause: maxPause},
	}
	nothing := func() {}
	f.caughtUp, f.reached = nothing, nothing
	f.failed = func(time.Time) {}
	f.skipped = func(uint64) {}
	return f
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		made := time.Now()
		err := f.step(ctx)
		if err == nil {
			f.failures = 0
			continue
		}
		if ctx.Err() == nil {
			f.failures++
			f.failed(made)
			f.pacer.Failed(ctx, err)
		}
	}
}

func (f *follower) step(ctx context.Context) error {
	if f.keyed && !f.known {
		return f.readWhole(ctx)
	}
	return f.readOn(ctx)
}

// patience is how long a read may wait for a record, and in all. A call that begins
// in an outage may hang to its end although the outage is over; so none of those is
// given long. Their time grows and begins anew, for a store that is only slow.
func (f *follower) patience() (wait, all time.Duration) {
	if f.failures == 0 {
		wait = f.wait
		if f.waits != nil {
			wait = f.waits()
		}
		return wait, wait + callTimeout
	}
	return 0, callTimeout / 2 << ((f.failures - 1) % 3)
}

func (f *follower) readWhole(ctx context.Context) error {
	_, all := f.patience()
	ctx, cancel := context.WithTimeout(ctx, all)
	defer cancel()
	page, err := f.store.Newest(ctx, f.topic)
	if err != nil {
		return err
	}
	f.reached()
	f.whole(page)
	f.next, f.known, f.begun = page.Next, true, true
	f.pacer.Answered(ctx, len(page.Records), 0, 0)
	return nil
}

func (f *follower) readOn(ctx context.Context) error {
	began := time.Now()
	page, err := f.read(ctx)
	if errors.Is(err, fleet.ErrStoreExpired) {
		f.restart(page.First)
		return nil
	}
	if err != nil {
		return err
	}
	f.reached()
	for _, r := range page.Records {
		f.record(r)
	}
	f.next = page.Next
	if f.next >= page.End {
		f.caughtUp()
	}
	waited, _ := f.patience()
	f.pacer.Answered(ctx, len(page.Records), waited, time.Since(began))
	f.rest(ctx)
	return nil
}

// rest pauses between reads.
func (f *follower) rest(ctx context.Context) {
	every := f.every
	if f.pause != nil {
		every = f.pause()
	}
	if every <= 0 {
		return
	}
	timer := time.NewTimer(every)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.poke:
	}
}

func (f *follower) read(ctx context.Context) (fleet.Page, error) {
	wait, all := f.patience()
	ctx, cancel := context.WithTimeout(ctx, all)
	defer cancel()
	return f.store.Read(ctx, f.topic, f.next, wait)
}

// restart goes on where records are gone: with all keys, or from the oldest record.
func (f *follower) restart(first uint64) {
	f.known = false
	if !f.keyed {
		f.next = max(f.next, first)
		f.skipped(f.next)
	}
}
