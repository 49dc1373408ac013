package direct

import (
	"context"
	"errors"
	"net/http"
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/attempt"
	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
	"skylarklead/internal/route"
	"skylarklead/internal/upstream"
)

const (
	// spareEntries is how many entries that aren't known yet a replica's connections
	// are shared with: those that are just being added.
	spareEntries = 1
	// minConnections is what an entry may always open.
	minConnections = 4
)

// placement is a replica that was picked for the request.
type placement struct {
	replica *fleet.Replica
	choice  route.PickResult
	version uint64
	// at is when it was picked.
	at time.Duration
	// source is the address that a missing prefix is fetched from, keep the store
	// that it is saved to; "" for none.
	source, keep string
	watched      *inFlightRequest
	// window holds work of the request until it begins to be answered.
	window *admit.CongestionWindow
	work   float64
}

// handOn places the request until it has its answer.
func (j *request) handOn() {
	defer j.release()
	for !j.givenUp() {
		if !j.reserve() {
			j.overLimit()
			return
		}
		p := j.place()
		if p == nil {
			j.unplaced()
			return
		}
		// Its units were given back if it had to wait.
		if !j.reserve() {
			j.unplace(p)
			j.overLimit()
			return
		}
		j.spend()
		loss, done := j.handOver(p)
		if done {
			return
		}
		if loss == attempt.FailureNotRun || loss == attempt.FailureNotSent {
			j.unspend()
		}
		if j.ctx.Err() != nil {
			j.ended()
			return
		}
		if !j.again(p, loss) {
			return
		}
	}
}

// again takes a loss; it reports whether to place the request once more, and
// answers it if not.
func (j *request) again(p *placement, loss attempt.DispatchFailure) bool {
	e := j.entry
	e.state.mu.Lock()
	next := j.forward.RecordFailure(loss, e.clock.now())
	if loss == attempt.FailureUnknown && e.state.crashes.Suspect(j.print, e.clock.now()) {
		next = attempt.RetryDecision{Reason: "suspected of crashing replicas"}
	}
	e.state.mu.Unlock()
	if next.Retry {
		e.tel.Metrics.Retries.Inc(1)
		j.query.Exclude = append(j.query.Exclude, p.replica.ID)
		return true
	}
	switch {
	case j.first > 0:
		// Part of the answer is with the caller. Only a cut tells it that the rest
		// is missing.
		j.cut(next.Reason)
	case next.NotRun:
		j.refuse(next.Reason, defaultRetryAfter)
	case j.failure != nil:
		j.pass(j.failure)
	default:
		j.fail(http.StatusBadGateway, next.Reason, 0)
	}
	return false
}

// unplaced answers a request that no replica may take.
func (j *request) unplaced() {
	switch {
	case j.ctx.Err() != nil:
		j.ended()
	case j.first > 0:
		j.cut("no replica to go on")
	case j.failure != nil:
		j.pass(j.failure)
	case j.forward.MayHaveRun():
		j.fail(http.StatusBadGateway, "no replica to try again", 0)
	case !j.endsInTime():
		j.refuse(shuttingDown, defaultRetryAfter)
	case j.capacityIn > 0:
		j.entry.tel.Metrics.Count("refused_replicas_closed", 1)
		j.refuse("replicas take nothing more for now", j.capacityIn)
	default:
		j.refuse("no replica can take it", defaultRetryAfter)
	}
}

// ended answers a request whose time is over or whose caller has left.
func (j *request) ended() {
	switch {
	case j.gone():
		j.outcome, j.reason = outcomeLeft, "caller closed the connection"
		panic(http.ErrAbortHandler)
	case j.first > 0:
		j.cut("time over")
	default:
		j.fail(http.StatusGatewayTimeout, "time over", 0)
	}
}

// cut breaks the answer off: it must not look complete.
func (j *request) cut(reason string) {
	j.outcome, j.reason = outcomeCut, reason
	panic(http.ErrAbortHandler)
}

// pick picks a replica now, nil if there is none. The caller holds the state's lock.
func (j *request) pick(now time.Duration) *placement {
	s := j.entry.state
	j.query.WantedVersion = s.wanted(j.params.Model)
	var candidates []route.PickCandidate
	candidates, j.excluded = s.candidates(j.service, j.params.Model, now)
	j.query.Sample = s.sample(len(candidates))
	choice, ok := s.feed.Pick(now, &j.query, candidates)
	if !ok {
		// Replicas that refused it once may take it now.
		j.query.Exclude = nil
		return nil
	}
	s.feed.Dispatched(now, &j.query, &choice)
	limit, _ := s.rateLimits.State(choice.ID, now)
	s.rateLimits.Take(choice.ID, now)
	p := &placement{replica: s.replicas.Get(choice.ID), choice: choice, at: now}
	if j.params.Model != "" {
		p.version = s.board.Version(choice.ID, j.params.Model)
	}
	j.cacheSource(p)
	j.hands = append(j.hands, hand{
		replica: choice.ID, reason: choice.Reason, score: choice.Score, load: choice.WaitMs,
		missed: choice.MissingTokens, source: p.source, of: choice.CandidateCount, version: p.version,
		listAge: now - time.Duration(s.listReadAt.Load()), listFrom: s.listFrom(), offList: s.replicas.UnlistedFor(choice.ID, now),
		limit: limit,
	})
	return p
}

// cacheSource sets where the replica can fetch what it lacks of the prefix, and where
// it is kept. The caller holds the state's lock.
func (j *request) cacheSource(p *placement) {
	s := j.entry.state
	use := s.feed.PlanCache(j.entry.clock.now(), &j.query, &p.choice, j.salt(p.version), j.config.KeptCaches())
	p.source, p.keep = use.Store, use.SaveTo
	if r := s.replicas.Get(use.Donor); r != nil {
		p.source = r.Address
	}
}

// handOver sends the request to a replica and passes its answer on. If there is
// none to pass on it tells why.
func (j *request) handOver(p *placement) (loss attempt.DispatchFailure, done bool) {
	e := j.entry
	h := &j.hands[len(j.hands)-1]
	began := e.clock.now()
	startedFirst := j.first > 0
	defer func() {
		h.took = e.clock.now() - began
		e.state.mu.Lock()
		e.state.feed.Finished(&j.query, &p.choice, !startedFirst && j.first > 0)
		p.done()
		e.state.mu.Unlock()
	}()
	j.forward.RecordDispatch()
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	p.watched = e.watch.begin(p.replica, j.route.Repeatable(), cancel)
	defer e.watch.end(p.watched)
	x, err := e.pool.Do(ctx, upstream.Replica{ID: p.replica.ID, Address: p.replica.Address},
		j.connections(), j.upstreamRequest(p), j.belongs)
	if err != nil {
		return j.sendFailed(p, h, err), false
	}
	defer x.Close()
	h.status = x.Status
	loss, done = j.answer(p, x)
	h.outcome = loss.String()
	if done {
		h.outcome = outcomeServed
	}
	return loss, done
}

// connections is this entry's share of a replica's connections.
func (j *request) connections() int {
	s := j.entry.state
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(minConnections, j.service.MaxConnections/(s.entries+spareEntries))
}

func (j *request) upstreamRequest(p *placement) *upstream.Request {
	last := j.lastEvent()
	over := &fleet.HandOver{
		Replica:   p.replica.Name,
		Deadline:  j.left(),
		Version:   p.version,
		Salt:      j.salt(p.version),
		Priority:  j.priority(),
		FetchFrom: p.source,
		SaveTo:    p.keep,
		LastEvent: last,
	}
	if j.organisation != nil {
		over.Organisation = j.organisation.Name
	}
	return &upstream.Request{
		Method: j.r.Method,
		Target: j.r.RequestURI,
		Host:   j.r.Host,
		Header: j.entry.platform.Headers.ToReplica(j.r.Header, over),
		Body:   j.body,
	}
}

// belongs reports whether an answer is to this request.
func (j *request) belongs(h http.Header) bool {
	id := j.entry.platform.Headers.Answer(http.StatusOK, h).RequestID
	return id == "" || id == j.params.ID
}

// sendFailed takes a hand-over without an answer.
func (j *request) sendFailed(p *placement, h *hand, err error) attempt.DispatchFailure {
	e := j.entry
	var send *upstream.SendError
	loss := attempt.FailureUnknown
	if errors.As(err, &send) && !send.Sent {
		loss = attempt.FailureNotSent
	}
	h.outcome, h.err = loss.String(), err
	if j.ctx.Err() != nil || errors.Is(err, upstream.ErrConnectionLimit) {
		return loss
	}
	if loss == attempt.FailureNotSent {
		e.markUnreachable(p.replica, "request "+j.params.ID, err)
		return loss
	}
	j.fault(p, member.FaultConnectionLost)
	j.broke(p)
	return loss
}
