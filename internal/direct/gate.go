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

// gate is where requests for one service wait for a place at one of its replicas.
type gate struct {
	line *admit.Line
	// window is nil for plain services: their replicas answer at once or refuse.
	window *admit.Window
}

// gateOf returns a service's gate. The caller holds mu.
func (s *state) gateOf(service *fleet.Service) *gate {
	g := s.gates[service.Name]
	if g == nil {
		g = &gate{line: admit.NewLine()}
		if service.Engine != nil {
			s.learns(service.Name)
			g.window = admit.NewWindow(admit.DefaultWindowParams)
		}
		s.gates[service.Name] = g
	}
	return g
}

// dispatch hands places to those whose turn it is. The caller holds mu.
func (s *state) dispatch(g *gate, now time.Duration) {
	for {
		t := g.line.Next(now)
		if t == nil || g.window != nil && !s.feed.Informed(now) && !g.window.Open(t.Work) {
			return
		}
		j := t.Value.(*job)
		j.query.MaxLoad = t.LoadBound(now, j.loadBound())
		p := j.pick(now)
		if p == nil {
			return
		}
		g.line.Remove(t)
		g.line.Given(t.Organisation, t.Work, now)
		if g.window != nil {
			p.window, p.work = g.window, t.Work
			g.window.Sent(t.Work)
		}
		j.turn <- p
	}
}

// dispatchAll looks at all gates. The caller holds mu.
func (s *state) dispatchAll(now time.Duration) {
	for _, g := range s.gates {
		for _, t := range g.line.Expired(now) {
			t.Value.(*job).turn <- nil
		}
		s.dispatch(g, now)
		s.rejectBeyondSupply(g, now)
	}
}

// place waits for a replica's place. It returns nil when there is none in time.
func (j *job) place() *placed {
	e := j.entry
	s := e.state
	began := e.clock.now()
	j.turn = make(chan *placed, 1)
	s.mu.Lock()
	ticket := j.ticket(began)
	g := s.gateOf(j.service)
	if g.line.Len() >= maxWaiting {
		s.mu.Unlock()
		return nil
	}
	g.line.Add(ticket)
	s.dispatch(g, began)
	s.rejectBeyondSupply(g, began)
	s.mu.Unlock()
	defer func() { j.waited += e.clock.now() - began }()
	select {
	case p := <-j.turn:
		return p
	default:
		// Units of a limit that are kept while it waits would lapse.
		j.release()
	}
	select {
	case p := <-j.turn:
		return p
	case <-j.ctx.Done():
	}
	s.mu.Lock()
	g.line.Remove(ticket)
	s.mu.Unlock()
	select {
	case p := <-j.turn:
		// Its turn came as its time ended.
		j.unplace(p)
	default:
	}
	return nil
}

// unplace gives back a place that isn't used.
func (j *job) unplace(p *placed) {
	if p == nil {
		return
	}
	s := j.entry.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feed.Ended(&j.query, &p.choice, false)
	p.done()
}

// done takes the request's work out of the window, once. The caller holds the
// state's lock.
func (p *placed) done() {
	if p.window != nil {
		p.window.Done(p.work)
		p.window = nil
	}
}

// ticket is the request's place in the line. The caller holds the state's lock.
func (j *job) ticket(now time.Duration) *admit.Ticket {
	feed := j.entry.state.feed
	work := feed.ReadTime(&j.query, j.query.PromptTokens-j.query.SharedTokens)
	t := &admit.Ticket{
		Priority: j.priority(),
		Work:     work,
		Arrived:  j.began,
		OnTime:   j.ends,
		GiveUp:   now + time.Duration(float64(j.left())/waitShare),
		Value:    j,
	}
	if began, _ := j.entry.drain.state(); !began.IsZero() && time.Since(began) > anyRequest {
		t.GiveUp = min(t.GiveUp, now+drainWait)
	}
	if j.organisation != nil {
		t.Organisation = j.organisation.Name
	}
	if j.route.Objective > 0 {
		t.OnTime = j.began + j.route.Objective - time.Duration((work+feed.Overhead(&j.query))*float64(time.Millisecond))
	}
	if j.first > 0 {
		t.Priority, t.OnTime = goesOn, j.ends
	}
	return t
}
