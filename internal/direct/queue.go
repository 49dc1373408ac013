package direct

import (
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/fleet"
)

const (
	// maxQueued bounds the requests that wait for one service at an entry. In a longer queue,
	// waiting would outlast any caller.
	maxQueued = 2048
	// waitDivisor is the divisor of a request's remaining time that gives how long it may wait
	// for a placement, before its deadline or the end of its caller's patience. The rest is for
	// running, and for the caller to retry after a refusal.
	waitDivisor = 2.5
	// resumedPriority puts streams that resume at another replica first: their callers have
	// part of the answer.
	resumedPriority = -1
)

// serviceQueue holds the requests for one service that wait for a placement.
type serviceQueue struct {
	// waiting orders requests by rank, those that can still be in time first, then by fairness
	// between organisations.
	waiting *admit.WaitQueue
	// resuming holds the streams that go on at replicas of one software version. They are placed
	// before the others and, as other requests may be placed where they can't, don't block them.
	resuming *admit.WaitQueue
	// window bounds the work that is sent but not yet being answered. It is nil for plain
	// services: their replicas answer or refuse at once.
	window *admit.CongestionWindow
	// outlook forecasts when waiting requests are placed.
	outlook *admit.Outlook
}

// queueFor returns the queue in which a request waits. The caller holds the state's lock.
func (q *serviceQueue) queueFor(req *request) *admit.WaitQueue {
	if req.requiredSoftware().bound {
		return q.resuming
	}
	return q.waiting
}

// queueOf returns a service's queue. The caller holds mu.
func (s *state) queueOf(service *fleet.Service) *serviceQueue {
	q := s.queues[service.Name]
	if q == nil {
		q = &serviceQueue{waiting: admit.NewWaitQueue(), resuming: admit.NewWaitQueue(), outlook: admit.NewOutlook()}
		if service.Engine != nil {
			s.onNewEngineService(service.Name)
			q.window = admit.NewCongestionWindow(admit.DefaultWindowParams)
		}
		s.queues[service.Name] = q
	}
	return q
}

// placeQueued assigns replicas to waiting requests, in the queue's order. Where no replica can take
// the first one, those behind it wait too: otherwise the larger ones of worse ranks would keep every
// replica above the load up to which it may be placed. The caller holds mu.
func (s *state) placeQueued(q *serviceQueue, now time.Duration) {
	for _, queued := range q.resuming.Ordered(now) {
		s.placeNext(q, q.resuming, queued, now)
	}
	for queued := q.waiting.Next(now); queued != nil && s.placeNext(q, q.waiting, queued, now); queued = q.waiting.Next(now) {
	}
}

// placeNext assigns a replica to a request that waits in one of the service's queues, if one can take
// it. The caller holds mu.
func (s *state) placeNext(q *serviceQueue, from *admit.WaitQueue, queued *admit.QueuedRequest, now time.Duration) bool {
	if q.window != nil && !s.picker.PeerLoadsKnown(now) && !q.window.Fits(queued.Work) {
		return false
	}
	req := queued.Value.(*request)
	req.query.MaxWaitMs = queued.LoadBound(now, req.maxLoad())
	p := req.pickReplica(now)
	if p == nil {
		return false
	}
	from.Remove(queued)
	q.waiting.RecordDispatch(queued.Organisation, queued.Work, now)
	q.outlook.Placed(queued.Priority, now)
	if q.window != nil {
		p.window, p.work = q.window, queued.Work
		q.window.Sent(queued.Work)
	}
	req.placed <- p
	return true
}

// placeAllQueued places waiting requests and refuses expired ones, for all services. The caller
// holds mu.
func (s *state) placeAllQueued(now time.Duration) {
	for _, q := range s.queues {
		s.placeExpired(q, now)
		for _, queued := range append(q.waiting.RemoveExpired(now), q.resuming.RemoveExpired(now)...) {
			queued.Value.(*request).placed <- nil
		}
		s.placeAndReject(q, now)
	}
}

// placeExpired places waiting requests before expired ones among them are refused: an entry that was held up finds
// some that a replica can take by now. The caller holds mu.
func (s *state) placeExpired(q *serviceQueue, now time.Duration) {
	if q.waiting.HasExpired(now) || q.resuming.HasExpired(now) {
		s.placeQueued(q, now)
	}
}

// placeAndReject assigns replicas to waiting requests and rejects those that can't be placed in time.
// The caller holds mu.
func (s *state) placeAndReject(q *serviceQueue, now time.Duration) {
	s.placeQueued(q, now)
	s.rejectUnresumable(q, now)
	s.rejectBeyondCapacity(q, now)
	s.rejectBeyondOutlook(q, now)
}

// awaitPlacement waits for a placement. It returns nil if there is none in time.
func (req *request) awaitPlacement() *placement {
	e := req.entry
	s := e.state
	began := e.clock.now()
	req.placed = make(chan *placement, 1)
	s.mu.Lock()
	queued := req.newQueuedRequest(began)
	q := s.queueOf(req.service)
	waiting := q.queueFor(req)
	if waiting.Len() >= maxQueued {
		s.mu.Unlock()
		return nil
	}
	waiting.Add(queued)
	s.placeAndReject(q, began)
	s.mu.Unlock()
	defer func() { req.waited += e.clock.now() - began }()
	select {
	case p := <-req.placed:
		return p
	default:
		// Quota units kept during the wait would expire.
		req.releaseQuota()
	}
	select {
	case p := <-req.placed:
		return p
	case <-req.ctx.Done():
	}
	s.mu.Lock()
	waiting.Remove(queued)
	s.mu.Unlock()
	select {
	case p := <-req.placed:
		// The placement came just as the request's time ended.
		req.cancelPlacement(p)
	default:
	}
	return nil
}

// cancelPlacement frees a placement that isn't used.
func (req *request) cancelPlacement(p *placement) {
	if p == nil {
		return
	}
	s := req.entry.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Finished(&req.query, &p.choice, false)
	p.endWork()
	req.endBackup(p, true)
}

// endWork removes the request's work from the window, once. The caller holds the state's lock.
func (p *placement) endWork() {
	if p.window != nil {
		p.window.Done(p.work)
		p.window = nil
	}
}

// patienceLeft is the time for which the caller still waits for the next byte of its answer.
func (req *request) patienceLeft(now time.Duration) time.Duration {
	left := req.deadline - now
	if req.route.Patience > 0 && req.firstByte == 0 {
		left = min(left, req.started+req.route.Patience-now)
	}
	return left
}

// newQueuedRequest returns the request's entry in the queue. The caller holds the state's lock.
func (req *request) newQueuedRequest(now time.Duration) *admit.QueuedRequest {
	picker := req.entry.state.picker
	work := picker.PrefillMs(&req.query, req.query.PromptTokens-req.query.SharedTokens)
	queued := &admit.QueuedRequest{
		Priority:    req.rank(),
		Work:        work,
		Arrived:     req.started,
		LatestStart: req.deadline,
		ExpiresAt:   now + time.Duration(float64(req.patienceLeft(now))/waitDivisor),
		Value:       req,
	}
	if _, restricted := req.entry.drain.restriction(); restricted {
		queued.ExpiresAt = min(queued.ExpiresAt, now+drainQueueWait)
	}
	if req.organisation != nil {
		queued.Organisation = req.organisation.Name
	}
	if req.route.LatencyTarget > 0 {
		queued.LatestStart = req.started + req.route.LatencyTarget - time.Duration((work+picker.OverheadMs(&req.query))*float64(time.Millisecond))
	}
	if req.firstByte > 0 {
		queued.Priority, queued.LatestStart = resumedPriority, req.deadline
	}
	return queued
}
