package direct

import (
	"testing"
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/fleet"
)

// queueBacklog returns an entry whose queue has n requests of rank 1, of which perSecond have been
// placed in each of the last seconds, and the requests.
func queueBacklog(t *testing.T, n, perSecond int) (*Entry, *serviceQueue, []*request) {
	e := newQueueEntry(t)
	s := e.state
	q := s.queueOf(&fleet.Service{Name: "s"})
	now := e.clock.now()
	var waiting []*request
	for range n {
		req := &request{entry: e, deadline: now + 4*time.Second, placed: make(chan *placement, 1)}
		q.waiting.Add(&admit.QueuedRequest{Priority: 1, LatestStart: now + time.Second, ExpiresAt: now + time.Second, Value: req})
		waiting = append(waiting, req)
	}
	for at := now - 3*time.Second; at < now; at += time.Second / time.Duration(perSecond) {
		q.outlook.ObserveBacklogs(q.waiting.Backlogs(), at)
		q.outlook.Placed(1, at)
	}
	return e, q, waiting
}

// Guards against callers that are held until their time is over though their turn can't come: 200
// requests wait for replicas that take ten a second.
func TestRequestsWhoseTurnComesTooLateAreRefusedAtOnce(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		e, q, waiting := queueBacklog(t, 200, 10)
		e.state.refuseByForecast = enabled
		e.state.rejectBeyondOutlook(q, e.clock.now())
		refused := 0
		last := time.Duration(0)
		for _, req := range waiting {
			select {
			case <-req.placed:
				refused++
				if req.roomIn < defaultRetryAfter || req.roomIn > req.timeLeft() {
					t.Errorf("told to come back in %v of %v", req.roomIn, req.timeLeft())
				}
				last = max(last, req.roomIn)
			default:
			}
		}
		if !enabled && refused > 0 {
			t.Errorf("%d refused though the setting is off", refused)
		}
		if enabled && (refused < 150 || refused == len(waiting) || last < time.Second) {
			t.Errorf("%d of %d refused, the last is to come back in %v", refused, len(waiting), last)
		}
	}
}
