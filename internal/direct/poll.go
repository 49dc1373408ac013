package direct

import (
	"context"
	"errors"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/peermessage"
	"skylarklead/internal/rollout"
	"skylarklead/internal/spread"
)

const (
	// pollAfter is how long the store may be unavailable before replicas are polled directly: a
	// second call has failed by then.
	pollAfter = 700 * time.Millisecond
	// pollInterval is the pause between polls of each replica. Reports are a few hundred
	// milliseconds old in any case.
	pollInterval = 400 * time.Millisecond
)

// reportRepeats is how many times a changed report of a replica is sent to the peers, because a
// datagram may be lost.
const reportRepeats = 2

// markStoreDown records that the store does not answer since a time, markStoreUp that it answers
// again.
func (m *replicaMonitor) markStoreDown(at time.Duration) {
	m.mu.Lock()
	m.storeDown, m.storeDownSince = true, at
	m.entry.state.storeDown.Store(true)
	m.mu.Unlock()
}

func (m *replicaMonitor) markStoreUp() {
	m.mu.Lock()
	m.storeDown = false
	m.entry.state.storeDown.Store(false)
	m.mu.Unlock()
}

// replicasToPoll returns the replicas with models whose state is to be polled now.
//
// An entry that is cut off from the store receives no rollout records. It would send requests to
// replicas that are loading weights, or expect weights that have been replaced, and each refusal
// uses up retry budget that is needed after crashes. Polling avoids that.
func (m *replicaMonitor) replicasToPoll() []*fleet.Replica {
	e := m.entry
	now := e.clock.now()
	m.mu.Lock()
	due := m.storeDown && now-m.storeDownSince > pollAfter && now-m.polledAt > pollInterval
	if due {
		m.polledAt = now
	}
	if !m.storeDown {
		clear(m.sentReports)
	}
	m.mu.Unlock()
	if !due {
		return nil
	}
	alive := e.peers.alive(now)
	s := e.state
	s.mu.Lock()
	defer s.mu.Unlock()
	var replicas []*fleet.Replica
	for _, id := range s.replicas.IDs() {
		r := s.replicas.Get(id)
		if len(r.Weights) == 0 || now < s.replicas.BackoffUntil(id) || e.hub != nil && !spread.ShouldQuery(e.settings.ID, alive, id) {
			continue
		}
		if s.rateLimits.Allows(id, now) {
			s.rateLimits.Take(id, now)
			replicas = append(replicas, r)
		}
	}
	return replicas
}

// poll asks a replica for its state and applies the answer.
func (m *replicaMonitor) poll(ctx context.Context, r *fleet.Replica) {
	e := m.entry
	ctx, cancel := context.WithTimeout(ctx, pollInterval)
	defer cancel()
	sent := e.clock.now()
	report, notice, err := e.platform.Replicas.Report(ctx, r)
	e.applyNotice(r.ID, &notice, sent, false)
	var misdirected *fleet.MisdirectedError
	switch {
	case errors.As(err, &misdirected):
		e.handleReplaced(r, misdirected.Instance, 0)
	case err != nil:
		// The next poll follows soon, and requests detect a failure earlier.
	case !r.Matches(report.StartedAtMs):
		e.handleRestarted(r, report.StartedAtMs)
	default:
		e.applyReport(r, &report)
		m.sendReport(r, &report)
	}
}

// sentReport is a report and how many times it was sent.
type sentReport struct {
	peermessage.ReplicaReport
	sendCount int
}

// sendReport sends a report to the peers if it has changed. Only a few of the entries that receive
// each other's messages poll each replica: polls of all replicas by all entries would outnumber the
// requests.
func (m *replicaMonitor) sendReport(r *fleet.Replica, report *fleet.Report) {
	if m.entry.hub == nil {
		return
	}
	current := peermessage.ReplicaReport{Replica: r.ID, Weights: report.Weights, Draining: report.Draining, Busy: report.Busy, Orders: report.AcceptedOrders}
	m.mu.Lock()
	last := m.sentReports[r.ID]
	if last == nil || !last.Equal(&current) {
		last = &sentReport{ReplicaReport: current}
		m.sentReports[r.ID] = last
	}
	last.sendCount++
	due := last.sendCount <= reportRepeats
	m.mu.Unlock()
	if due {
		m.entry.peers.broadcast(peermessage.Reports{current})
	}
}

// observeNewerWeights records that a replica has newer weights than was known, as its refusal says, and
// tells the peers: otherwise each entry would lose a request's try there. The caller holds the
// state's lock.
func (e *Entry) observeNewerWeights(id, model string, version uint64) {
	if !e.state.versionTracker.ObserveVersion(id, model, version, 0) {
		return
	}
	e.state.picker.CacheCleared(id, e.clock.now())
	if e.hub == nil {
		return
	}
	report := peermessage.ReplicaReport{Replica: id, Weights: map[string]uint64{model: version}}
	go e.peers.broadcast(peermessage.Reports{report})
}

// handleReports applies reports that peers received from replicas. The count of orders that a
// replica has accepted tells which of two reports is newer.
func (e *Entry) handleReports(reports []peermessage.ReplicaReport) {
	for _, received := range reports {
		e.state.mu.Lock()
		r := e.state.replicas.Get(received.Replica)
		e.state.mu.Unlock()
		if r != nil {
			e.applyReport(r, &fleet.Report{Weights: received.Weights, Draining: received.Draining, Busy: received.Busy, AcceptedOrders: received.Orders})
		}
	}
}

func (e *Entry) applyReport(r *fleet.Replica, report *fleet.Report) {
	now := e.clock.now()
	s := e.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if report.Draining && s.replicas.MarkLeaving(r.ID) {
		e.tel.Log.Info("replica is leaving", "replica", r.ID, "by", "its report")
	}
	for model, version := range report.Weights {
		if s.versionTracker.ObserveVersion(r.ID, model, version, report.AcceptedOrders) {
			e.tel.Log.Info("replica has newer weights", "replica", r.ID, "model", model, "version", version)
			s.picker.CacheCleared(r.ID, now)
		}
		phase := rollout.PhaseReleased
		if report.Busy {
			phase = rollout.PhaseOrdered
		}
		s.versionTracker.ApplyRecord(&rollout.Record{Replica: r.ID, Model: model, Version: version + 1, Phase: phase}, now)
	}
	if !report.Busy {
		s.notifyChanged()
	}
}

// handleRestarted handles a report that a replica has started anew at a time.
func (e *Entry) handleRestarted(r *fleet.Replica, startedAtMs int64) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pollInterval)
		defer cancel()
		e.handleReplaced(r, e.restartedName(ctx, r), startedAtMs)
	}()
}

// restartedName returns the name under which a replica has restarted. Requests for its former name
// would be refused, each at the cost of a retry.
func (e *Entry) restartedName(ctx context.Context, r *fleet.Replica) string {
	config := e.state.config.Load()
	if config == nil || config.Services[r.Service] == nil || config.Services[r.Service].HealthPath == "" {
		return r.Name
	}
	name, err := e.platform.Replicas.Identity(ctx, r, config.Services[r.Service].HealthPath)
	if err != nil {
		e.tel.Log.Info("restarted replica not identified", "replica", r.ID, "address", r.Address, "error", err)
		return r.Name
	}
	return name
}

// handleReplaced handles an answer from another incarnation at a replica's address, with its name
// and, if known, its start time. The known incarnation is gone for good. The new one is asked for
// its state, because the list of replicas may be out of reach; the address may also belong to
// another service now.
//
// An answer from an incarnation that started before the known one is ignored: it was delayed.
func (e *Entry) handleReplaced(r *fleet.Replica, name string, startedAtMs int64) {
	if name == r.Name && startedAtMs <= r.StartedAtMs {
		return
	}
	go func() {
		e.state.mu.Lock()
		e.state.replicas.Replaced(r.ID, e.clock.now())
		e.state.forgetReplica(r.ID)
		e.state.mu.Unlock()
		e.recordReplicaLoss(r.ID)
		e.tel.Log.Info("replica replaced", "replica", r.ID, "address", r.Address, "by", fleet.IncarnationID(name, startedAtMs))
		if name == "" || len(r.Weights) == 0 {
			return
		}
		e.adopt(r, name)
	}()
}

// adopt adds a restarted replica before the list of replicas has it, provided that it serves the
// same models: a model's name belongs to one service only.
func (e *Entry) adopt(old *fleet.Replica, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), pollInterval)
	defer cancel()
	report, notice, err := e.platform.Replicas.Report(ctx, old.Restarted(name, 0))
	if err != nil || report.Draining || notice.Leaving {
		return // the list of replicas will have it
	}
	for model := range old.Weights {
		if _, serves := report.Weights[model]; !serves {
			return
		}
	}
	startedAtMs := report.StartedAtMs
	if old.StartedAtMs == 0 {
		startedAtMs = 0 // records without start times would count as outdated
	}
	restarted := old.Restarted(name, startedAtMs)
	restarted.Weights = report.Weights
	e.state.mu.Lock()
	known := e.state.replicas.Get(restarted.ID) != nil
	if known {
		e.state.mu.Unlock()
		return // the list already has it
	}
	update := e.state.replicas.Adopt(restarted, e.clock.now())
	e.applyReplicaUpdate(restarted, &update, false)
	e.state.mu.Unlock()
	if update.Outdated {
		e.tel.Log.Info("restarted replica not adopted", "replica", restarted.ID, "address", restarted.Address, "reason", "its record was removed")
		return
	}
	e.endPredecessor(restarted, &update)
	e.logReplicaUpdate(restarted, &update, false, 0)
}
