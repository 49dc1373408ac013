package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"skylarklead/internal/protocol"
)

const rewindName = Name("rollout")

// oneLog is a log that several holders read and write, all at once.
type oneLog struct {
	end     uint64
	holders []*Leases
	now     time.Duration
}

// carry appends what a holder asks for and has all read it, until nothing is left to do.
func (l *oneLog) carry(actions []Action) {
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

// Guards against two holders at a time, and against none for ever, after the log came back from an
// older copy: one that reads both eras and one that starts in the new one agree who holds.
func TestALeaseAfterTheLogCameBack(t *testing.T) {
	a, b := newHolder("a", 1), newHolder("b", 2)
	log := &oneLog{holders: []*Leases{a, b}, now: time.Second}
	claim := a.Acquire(rewindName, log.now)
	log.carry(claim)
	if !holds(a, log.now) {
		t.Fatal("a free lease isn't granted")
	}
	fence, _ := a.Check(rewindName, log.now)
	lost := log.end

	// The copy has a's claim; c starts in the new era and has read only that.
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
		t.Error("a lease of before is held on to")
	}
	log.carry(b.CaughtUp(log.now))
	log.carry(b.Acquire(rewindName, log.now))
	if holds(b, log.now) {
		t.Error("another holds a lease whose holder may not know that the log came back")
	}
	log.carry(c.CaughtUp(log.now))
	log.carry(a.CaughtUp(log.now))
	if again, ok := a.Check(rewindName, log.now); !ok || again <= fence || again <= lost {
		t.Errorf("fence %d, %t after %d", again, ok, fence)
	}
	log.carry(c.Acquire(rewindName, log.now))
	if holds(c, log.now) || holds(b, log.now) {
		t.Error("two hold the lease")
	}
	for _, h := range log.holders {
		if grant, ok := h.Table().Holder(rewindName); !ok || grant.Holder != "a" {
			t.Errorf("%+v, %t holds by one reader's table", grant, ok)
		}
	}
}

// Guards against a record of before that comes into the log again and is taken for one of now.
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
		t.Errorf("%+v before the holder's time can be over", actions)
	}
	if actions := b.Tick(DefaultParams.Duration + DefaultParams.Margin + time.Second); len(actions) != 1 {
		t.Errorf("%+v once it is over", actions)
	}
}

// Guards against a claim right after the log came back, which lost a renewal that nobody else read.
func TestALostRenewalHoldsOthersBack(t *testing.T) {
	a, b := newHolder("a", 1), newHolder("b", 2)
	log := &oneLog{holders: []*Leases{a, b}}
	log.carry(a.Acquire(rewindName, 0))
	const era = 1 << 20
	back := DefaultParams.Duration + DefaultParams.Margin - time.Millisecond
	b.LogRestored(era+1, back)
	b.CaughtUp(back)
	b.Acquire(rewindName, back)
	if actions := b.Tick(back + DefaultParams.Duration); len(actions) > 0 {
		t.Errorf("%+v before the holder's time can be over", actions)
	}
}
