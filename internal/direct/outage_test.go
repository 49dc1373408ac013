package direct

import (
	"testing"
	"time"

	"skylarklead/internal/spread"
)

// Guards against an entry that takes the store for back by an answer from before the outage, which a peer passes on.
func TestOldAnswerOfAPeerEndsNoOutage(t *testing.T) {
	e := newQueueEntry(t)
	now := e.clock.now()
	answer := func(ago time.Duration) { e.listAnswered(spread.Read{AnsweredAt: now - ago, Reader: "entry-2"}, now) }
	answer(10 * time.Second)
	e.listCallFailed(e.clock.start.Add(now - 2*time.Second))
	for _, ago := range []time.Duration{9 * time.Second, 3 * time.Second} {
		answer(ago)
		if !e.state.storeDown.Load() {
			t.Fatalf("the store counts as back by an answer of %v ago, a call that was made 2s ago failed", ago)
		}
	}
	answer(time.Second)
	if e.state.storeDown.Load() {
		t.Error("the store doesn't count as back after an answer of 1s ago")
	}
}
