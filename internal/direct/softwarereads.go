package direct

import (
	"context"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/origin"
)

const (
	// evidencePause is the least pause between an entry's reads for streams that are taken up, and
	// evidencePausePerEntry what each entry adds, so that all together stay below the store's limit.
	evidencePause         = 100 * time.Millisecond
	evidencePausePerEntry = time.Millisecond
	// refusalReuse is how long after a read streams are refused by it, without another one.
	refusalReuse = time.Second
)

// usesRead is a read of the records: when it began and ended, the position that it ended at, and what it
// returned, once done is closed; that is nil if no stream waits for it.
type usesRead struct {
	done         chan struct{}
	began, ended time.Duration
	end          uint64
	evidence     origin.Evidence
	err          error
}

// read reads the records and applies them.
func (u *softwareUses) read(ctx context.Context) *usesRead {
	r := &usesRead{}
	u.readInto(ctx, r)
	return r
}

func (u *softwareUses) readInto(ctx context.Context, r *usesRead) {
	e := u.entry
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.began = e.clock.now()
	page, err := e.platform.Store.Newest(callCtx, topicSoftware)
	r.ended, r.end = e.clock.now(), page.Next
	if err != nil {
		r.err = err
		if !u.failing.Swap(true) {
			e.tel.Log.Warn("software versions not read from the store", "error", err)
		}
		return
	}
	u.failing.Store(false)
	if r.evidence, err = decodeEvidence(page); err != nil {
		e.tel.Log.Warn("record of a software version skipped", "error", err)
	}
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	if !e.state.uses.Read(&r.evidence, r.began, r.ended) {
		r.err = fleet.ErrStoreRestored
	}
	e.state.placeAllQueued(r.ended)
}

// only returns the version that began all streams of a model which can be taken up now, Unknown if that
// can't be told. It reads the store after it was called: any stream that the caller has had a part of began
// at a version that had been recorded by then.
func (u *softwareUses) only(ctx context.Context, model string) origin.Software {
	if u.doubtful(model) {
		return origin.Unknown
	}
	r := u.join(model)
	if r == nil {
		return origin.Unknown
	}
	ctx, cancel := context.WithTimeout(ctx, u.readPause()+originTimeout)
	defer cancel()
	select {
	case <-r.done:
	case <-ctx.Done():
		return origin.Unknown
	}
	if r.err != nil || u.doubtful(model) {
		return origin.Unknown
	}
	return r.evidence.Only(model)
}

func (u *softwareUses) readPause() time.Duration {
	return evidencePause + evidencePausePerEntry*time.Duration(u.entry.state.entryCount())
}

// join returns the next read that begins, nil if the last one says that the version can't be told.
func (u *softwareUses) join(model string) *usesRead {
	now := u.entry.clock.now()
	pause := u.readPause()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.last != nil && u.last.err == nil && now-u.last.ended < refusalReuse && u.last.evidence.Only(model) == origin.Unknown {
		return nil
	}
	if u.next != nil {
		return u.next
	}
	r := &usesRead{done: make(chan struct{})}
	u.next = r
	begins := max(now, u.earliest)
	u.earliest = begins + pause
	time.AfterFunc(begins-now, func() {
		u.mu.Lock()
		u.next = nil
		u.mu.Unlock()
		u.readInto(context.Background(), r)
		u.mu.Lock()
		u.last = r
		u.mu.Unlock()
		close(r.done) // only now, so that a stream that follows finds the read
	})
	return r
}
