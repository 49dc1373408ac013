package direct

import (
	"testing"
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/fleet"
	"skylarklead/internal/settings"
)

func newQueueEntry(t *testing.T) *Entry {
	t.Helper()
	s := &settings.Settings{ID: "entry-1", Direct: &settings.Direct{MemoryMB: 16}}
	e := newEntry(s, quietTelemetry(t), Platform{})
	e.clock.start = e.clock.start.Add(-time.Minute) // an entry that has run for a while
	return e
}

// Guards against a request that is held at the entry until its caller has left: it could have come
// back elsewhere.
func TestARequestWaitsNoLongerThanItsCaller(t *testing.T) {
	e := newQueueEntry(t)
	now := e.clock.now()
	config := &configuration{Configuration: &fleet.Configuration{}}
	config.Index()
	for _, patience := range []time.Duration{0, 2 * time.Second, time.Minute} {
		req := &request{entry: e, config: config, started: now, deadline: now + 12*time.Second, route: &fleet.Route{Patience: patience}}
		left := 12 * time.Second
		if patience > 0 {
			left = min(left, patience)
		}
		if got, most := req.newQueuedRequest(now).ExpiresAt, now+left/2; got > most || got <= now {
			t.Errorf("patience %v: waits until %v after its arrival", patience, got-now)
		}
	}
}

// Guards against a window that stays as it is while replicas answer nothing: only requests that began
// late would shrink it, and none begins.
func TestAWindowShrinksForRequestsThatNeverBegin(t *testing.T) {
	e := newQueueEntry(t)
	const target = 100 * time.Millisecond
	for _, took := range []time.Duration{target / 2, 2 * target} {
		w := admit.NewCongestionWindow(admit.DefaultWindowParams)
		p := &placement{window: w, work: 100, pickedAt: e.clock.now() - took}
		w.Sent(p.work)
		before := w.Size()
		req := &request{entry: e, route: &fleet.Route{LatencyTarget: target}}
		req.observeNoStart(p)
		if shrank := w.Size() < before; shrank != (took > target) {
			t.Errorf("ended after %v without a first event: the window is %v, %v before", took, w.Size(), before)
		}
	}
}
