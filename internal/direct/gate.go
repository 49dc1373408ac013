package direct

import (
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/fleet"
)

const (
	// maxWaiting bounds the requests that wait for one service at an entry; beyond it
	// a wait would outlast any caller.
	maxWaiting = 2048
	// waitShare is the part of a caller's time, as its divisor, that a request may
	// wait for a place: the rest is for running, and for coming back if it is
	// refused.
	waitShare = 2.5
	// goesOn ranks streams that go on at another replica: their callers have part of
	// the answer.
	goesOn = -1
)

// serviceQueue is where requests for one service wait for a place at one of its replicas.
type serviceQueue struct {
	waiting *admit.WaitQueue
	// window is nil for plain services: their replicas answer at once or refuse.
	window *admit.CongestionWindow
}

// gateOf returns a service's gate. The caller holds mu.
func (s *state) gateOf(service *fleet.Service) *serviceQueue {
	g := s.queues[service.Name]
	if g == nil {
		g = &serviceQueue{waiting: admit.NewWaitQueue()}
		if service.Engine != nil {
			s.learns(service.Name)
			g.window = admit.NewCongestionWindow(admit.DefaultWindowParams)
		}
		s.queues[service.Name] = g
	}
	return g
}

// dispatch hands places to those whose turn it is. The caller holds mu.
func (s *state) dispatch(g *serviceQueue, now time.Duration) {
	for {
		t := g.waiting.Next(now)
		if t == nil || g.window != nil && !s.feed.PeerLoadsKnown(now) && !g.window.Fits(t.Work) {
			return
		}
		j := t.Value.(*request)
		j.query.MaxWaitMs = t.LoadBound(now, j.loadBound())
		p := j.pick(now)
		if p == nil {
			return
		}
		g.waiting.Remove(t)
		g.waiting.RecordDispatch(t.Organisation, t.Work, now)
		if g.window != nil {
			p.window, p.work = g.window, t.Work
			g.window.Sent(t.Work)
		}
		j.placed <- p
	}
}

// placeAllQueued looks at all gates. The caller holds mu.
func (s *state) placeAllQueued(now time.Duration) {
	for _, g := range s.queues {
		for _, t := range g.waiting.RemoveExpired(now) {
			t.Value.(*request).placed <- nil
		}
		s.dispatch(g, now)
		s.rejectBeyondSupply(g, now)
	}
}

// place waits for a replica's place. It returns nil when there is none in time.
func (j *request) place() *placement {
	e := j.entry
	s := e.state
	began := e.clock.now()
	j.placed = make(chan *placement, 1)
	s.mu.Lock()
	ticket := j.ticket(began)
	g := s.gateOf(j.service)
	if g.waiting.Len() >= maxWaiting {
		s.mu.Unlock()
		return nil
	}
	g.waiting.Add(ticket)
	s.dispatch(g, began)
	s.rejectBeyondSupply(g, began)
	s.mu.Unlock()
	defer func() { j.waited += e.clock.now() - began }()
	select {
	case p := <-j.placed:
		return p
	default:
		// Units of a limit that are kept while it waits would lapse.
		j.release()
	}
	select {
	case p := <-j.placed:
		return p
	case <-j.ctx.Done():
	}
	s.mu.Lock()
	g.waiting.Remove(ticket)
	s.mu.Unlock()
	select {
	case p := <-j.placed:
		// Its turn came as its time ended.
		j.unplace(p)
	default:
	}
	return nil
}

// unplace gives back a place that isn't used.
func (j *request) unplace(p *placement) {
	if p == nil {
		return
	}
	s := j.entry.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feed.Finished(&j.query, &p.choice, false)
	p.done()
}

// done takes the request's work out of the window, once. The caller holds the
// state's lock.
func (p *placement) done() {
	if p.window != nil {
		p.window.Done(p.work)
		p.window = nil
	}
}

// ticket is the request's place in the line. The caller holds the state's lock.
func (j *request) ticket(now time.Duration) *admit.QueuedRequest {
	feed := j.entry.state.feed
	work := feed.PrefillMs(&j.query, j.query.PromptTokens-j.query.SharedTokens)
	t := &admit.QueuedRequest{
		Priority:    j.priority(),
		Work:        work,
		Arrived:     j.began,
		LatestStart: j.ends,
		ExpiresAt:   now + time.Duration(float64(j.left())/waitShare),
		Value:       j,
	}
	if began, _ := j.entry.drain.state(); !began.IsZero() && time.Since(began) > anyRequest {
		t.ExpiresAt = min(t.ExpiresAt, now+drainWait)
	}
	if j.organisation != nil {
		t.Organisation = j.organisation.Name
	}
	if j.route.LatencyTarget > 0 {
		t.LatestStart = j.began + j.route.LatencyTarget - time.Duration((work+feed.OverheadMs(&j.query))*float64(time.Millisecond))
	}
	if j.first > 0 {
		t.Priority, t.LatestStart = goesOn, j.ends
	}
	return t
}
