package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"skylarklead/internal/protocol"
)

const rewindName = Name("rollout")

// sharedLog is a log that several Leases read and write without delay.
type sharedLog struct {
	end     uint64
	holders []*Leases
	now     time.Duration
}

// deliver appends the requested records and has all Leases apply them, until there are no
// further actions.
func (l *sharedLog) deliver(actions []Action) {
	for len(actions) > 0 {
		a, ok := actions[0].(Append)
		actions = actions[1:]
		if !ok {
			continue
		}
		l.end++
		for _, h := range l.holders {
			actions = append(actions, h.ApplyRecord(l.end, a.Data, l.now)...)
		}
	}
}

func newHolder(name string, epoch protocol.Epoch) *Leases {
	h := NewLeases(name, epoch, DefaultParams, rand.New(rand.NewPCG(1, uint64(epoch))))
	h.CaughtUp(0)
	return h
}

func holds(l *Leases, now time.Duration) bool {
	_, ok := l.Check(rewindName, now)
	return ok
}

// Guards against two holders at a time, and against no holder ever again, after the log was
// restored from an older copy: a reader of both eras and one that starts in the new era must
// agree on the holder.
func TestALeaseAfterTheLogCameBack(t *testing.T) {
	a, b := newHolder("a", 1), newHolder("b", 2)
	log := &sharedLog{holders: []*Leases{a, b}, now: time.Second}
	claim := a.Acquire(rewindName, log.now)
	log.deliver(claim)
	if !holds(a, log.now) {
		t.Fatal("a free lease isn't granted")
	}
	fence, _ := a.Check(rewindName, log.now)
	endBefore := log.end

	// The copy has the claim of a. c starts in the new era and has read only that.
	const era = 1 << 20
	log.end = era
	c := newHolder("c", 3)
	log.holders = append(log.holders, c)
	for _, h := range log.holders {
		h.LogRestored(era+1, log.now)
		h.ApplyRecord(era+1, claim[0].(Append).Data, log.now)
	}
	log.end++
	if holds(a, log.now) {
		t.Error("a lease from before the restore is still held")
	}
	log.deliver(b.CaughtUp(log.now))
	log.deliver(b.Acquire(rewindName, log.now))
	if holds(b, log.now) {
		t.Error("granted to another process while the holder may not know that the log was restored")
	}
	log.deliver(c.CaughtUp(log.now))
	log.deliver(a.CaughtUp(log.now))
	if again, ok := a.Check(rewindName, log.now); !ok || again <= fence || again <= endBefore {
		t.Errorf("fence %d, %t; want one above %d", again, ok, fence)
	}
	log.deliver(c.Acquire(rewindName, log.now))
	if holds(c, log.now) || holds(b, log.now) {
		t.Error("two processes hold the lease")
	}
	for _, h := range log.holders {
		if grant, ok := h.Table().Holder(rewindName); !ok || grant.Holder != "a" {
			t.Errorf("grant %+v, %t in one reader's table; want a as the holder", grant, ok)
		}
	}
}

// Guards against claiming at once when a record of the earlier era is appended again after a
// restore: its sender may still hold the lease.
func TestALeaseRecordOfAnEarlierEraHoldsOthersBack(t *testing.T) {
	a := newHolder("a", 1)
	claim := a.Acquire(rewindName, 0)[0].(Append)
	b := newHolder("b", 2)
	const era = 1 << 20
	b.LogRestored(era+1, 0)
	b.ApplyRecord(era+1, claim.Data, 0)
	b.CaughtUp(0)
	b.Acquire(rewindName, 0)
	if actions := b.Tick(DefaultParams.Duration); len(actions) > 0 {
		t.Errorf("actions %+v before the holder's lease can have expired", actions)
	}
	if actions := b.Tick(DefaultParams.Duration + DefaultParams.Margin + time.Second); len(actions) != 1 {
		t.Errorf("actions %+v once it has expired; want one claim", actions)
	}
}

// Guards against a claim right after the log was restored without a renewal that nobody else
// has read.
func TestALostRenewalHoldsOthersBack(t *testing.T) {
	a, b := newHolder("a", 1), newHolder("b", 2)
	log := &sharedLog{holders: []*Leases{a, b}}
	log.deliver(a.Acquire(rewindName, 0))
	const era = 1 << 20
	back := DefaultParams.Duration + DefaultParams.Margin - time.Millisecond
	b.LogRestored(era+1, back)
	b.CaughtUp(back)
	b.Acquire(rewindName, back)
	if actions := b.Tick(back + DefaultParams.Duration); len(actions) > 0 {
		t.Errorf("actions %+v before the holder's lease can have expired", actions)
	}
}
