package direct

import (
	"context"
	"sync"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
	"skylarklead/internal/upstream"
)

const (
	// monitorInterval is the pause between checks of the requests in flight.
	monitorInterval = 50 * time.Millisecond
	// silenceTimeout is how long a replica may send nothing for a request before a connection to it
	// is probed. Nine of ten responses begin within this time, and pauses between a stream's events
	// are a tenth of it.
	silenceTimeout = 450 * time.Millisecond
	// unansweredTimeout is how long past the expected wait a replica may leave a request without the
	// first byte of its answer before that counts as a fault: nearly all answers begin earlier, also
	// at replicas that are behind.
	unansweredTimeout = time.Second
	// heldUpAfter is how late a check may be before the process counts as held up: answers may wait in
	// its sockets then.
	heldUpAfter = 4 * monitorInterval
)

// inFlightRequest is a request that a replica is processing.
type inFlightRequest struct {
	replica *fleet.Replica
	// began is when the request was sent, expected the wait for the answer that was expected then.
	began    time.Time
	expected time.Duration
	// lastReceived is when the replica last sent something for the request; answered is set once it
	// has, unanswered once the lack of an answer was counted as a fault.
	lastReceived         time.Time
	answered, unanswered bool
	repeatable           bool
	// backedUp is set if the run can go on from a backup, replicaEnded once it was cancelled for that.
	backedUp, replicaEnded bool
	cancel                 context.CancelFunc
}

// replicaMonitor detects replicas that have stopped responding.
//
// A machine that loses power resets no connection. The kernel notices only after seconds. Until
// then requests hang and new ones follow over connections that look idle, so callers see timeouts
// at one replica while others have capacity. A request that receives nothing for a while therefore
// triggers a probe with a new connection, which a replica that is merely slow accepts at once. If
// the probe fails, the replica gets no new requests, and its repeatable requests are cancelled and
// retried elsewhere.
type replicaMonitor struct {
	entry    *Entry
	mu       sync.Mutex
	inFlight map[*inFlightRequest]struct{}
	// checkedAt is when countUnanswered was last called.
	checkedAt time.Time
	// storeDown is set while the store does not answer, since storeDownSince.
	storeDown      bool
	storeDownSince time.Duration
	polledAt       time.Duration
	// sentReports holds, for each replica, the report that was last sent to the peers.
	sentReports map[string]*sentReport
}

func newReplicaMonitor(e *Entry) *replicaMonitor {
	return &replicaMonitor{entry: e, inFlight: make(map[*inFlightRequest]struct{}), sentReports: make(map[string]*sentReport)}
}

// begin watches a request until it is passed to end.
func (m *replicaMonitor) begin(p *placement, repeatable bool, cancel context.CancelFunc) *inFlightRequest {
	now := time.Now()
	x := &inFlightRequest{
		replica: p.replica, began: now, expected: time.Duration(p.choice.WaitMs * float64(time.Millisecond)),
		lastReceived: now, repeatable: repeatable, backedUp: p.backup != nil, cancel: cancel,
	}
	m.mu.Lock()
	m.inFlight[x] = struct{}{}
	m.mu.Unlock()
	return x
}

func (m *replicaMonitor) end(x *inFlightRequest) {
	m.mu.Lock()
	delete(m.inFlight, x)
	m.mu.Unlock()
}

// received records that the replica has sent something for a request.
func (m *replicaMonitor) received(x *inFlightRequest) {
	m.mu.Lock()
	x.lastReceived, x.answered = time.Now(), true
	m.mu.Unlock()
}

// countUnanswered counts a fault of each replica that leaves a request without an answer for much longer
// than was expected. Its connections may be sound, and so may its answers to probes. Time in which this
// process was held up doesn't count.
func (m *replicaMonitor) countUnanswered() {
	s := m.entry.state
	s.mu.Lock()
	defer s.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	late := now.Sub(m.checkedAt) - monitorInterval
	heldUp := !m.checkedAt.IsZero() && late > heldUpAfter
	m.checkedAt = now
	for x := range m.inFlight {
		if heldUp {
			x.began = x.began.Add(late)
		}
		if !x.answered && !x.unanswered && now.Sub(x.began) > x.expected+unansweredTimeout {
			x.unanswered = true
			s.replicas.RecordFault(x.replica.ID, member.FaultTimeout, m.entry.clock.now())
			m.entry.tel.Metrics.Count("requests_left_unanswered", 1)
		}
	}
}

// run probes silent and unreachable replicas until ctx ends.
func (m *replicaMonitor) run(ctx context.Context) {
	tick := time.NewTicker(monitorInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		m.check(ctx)
	}
}

// check does what is due now.
func (m *replicaMonitor) check(ctx context.Context) {
	m.entry.state.mu.Lock()
	m.entry.refuseLateQueued()
	m.entry.state.placeAllQueued(m.entry.clock.now())
	m.entry.state.mu.Unlock()
	m.countUnanswered()
	m.entry.sendNotices()
	m.entry.sendSound()
	m.entry.storeSound()
	for _, r := range m.replicasToProbe() {
		go m.probe(ctx, r)
	}
	for _, r := range m.replicasToPoll() {
		go m.poll(ctx, r)
	}
}

// replicasToProbe returns the replicas to which a connection is to be probed.
func (m *replicaMonitor) replicasToProbe() []*fleet.Replica {
	s := m.entry.state
	now := m.entry.clock.now()
	silent := m.silentReplicas()
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.replicas.DueProbes(now)
	for _, r := range silent {
		if s.replicas.CheckSilent(r.ID, now) {
			due = append(due, r)
		}
	}
	return due
}

func (m *replicaMonitor) silentReplicas() []*fleet.Replica {
	m.mu.Lock()
	defer m.mu.Unlock()
	var silent []*fleet.Replica
	before := time.Now().Add(-silenceTimeout)
	for x := range m.inFlight {
		if x.lastReceived.Before(before) {
			silent = append(silent, x.replica)
		}
	}
	return silent
}

func (m *replicaMonitor) probe(ctx context.Context, r *fleet.Replica) {
	e := m.entry
	if err := e.pool.Probe(ctx, upstream.Replica{ID: r.ID, Address: r.Address}); err != nil {
		e.markUnreachable(r, "probe", err)
		return
	}
	e.state.mu.Lock()
	changed := e.state.replicas.MarkReachable(r.ID)
	if changed {
		e.state.notifyChanged()
	}
	e.state.mu.Unlock()
	if !changed {
		return
	}
	e.tel.Log.Info("replica reachable", "replica", r.ID)
	if len(r.Weights) > 0 {
		// The replica may have restarted: its cache and its count of orders would be gone.
		m.poll(ctx, r)
	}
}

// markUnreachable handles a connection to a replica that could not be established.
func (e *Entry) markUnreachable(r *fleet.Replica, by string, err error) {
	e.state.mu.Lock()
	changed := e.state.replicas.MarkUnreachable(r.ID, e.clock.now())
	e.state.mu.Unlock()
	if !changed {
		return
	}
	e.recordReplicaLoss(r.ID)
	cancelled := e.monitor.cancelRepeatable(r.ID)
	e.tel.Log.Warn("replica unreachable", "replica", r.ID, "by", by, "taken_from_it", cancelled, "error", err)
}

// cancelRepeatable cancels the requests at a replica that may run again elsewhere, and returns
// their number.
func (m *replicaMonitor) cancelRepeatable(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	cancelled := 0
	for x := range m.inFlight {
		if x.replica.ID == id && x.repeatable {
			x.cancel()
			cancelled++
		}
	}
	return cancelled
}
