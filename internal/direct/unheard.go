package direct

import (
	"context"
	"errors"
	"maps"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/rollout"
	"skylarklead/internal/spread"
)

const (
	// unheardAfter is how long the store may be silent before replicas are asked
	// themselves: a second try has failed by then.
	unheardAfter = 700 * time.Millisecond
	// askEvery is the pause between questions to each replica. What they report is a
	// few hundred milliseconds old anyway.
	askEvery = 400 * time.Millisecond
)

// reportsTold is how often what has changed of a replica's word is told to the peers: a
// datagram may be lost.
const reportsTold = 2

// markStoreDown says that the store doesn't answer, storeBack that it does again.
func (w *replicaMonitor) markStoreDown(at time.Duration) {
	w.mu.Lock()
	w.lost, w.lostAt = true, at
	w.mu.Unlock()
}

func (w *replicaMonitor) markStoreUp() {
	w.mu.Lock()
	w.lost = false
	w.mu.Unlock()
}

// unheard returns the replicas of models to ask for their state now.
//
// An entry that is cut off from the store hears no notes of a rollout. It would send
// requests to replicas that load weights, or expect weights that have been replaced,
// and each refusal takes from the budget that crashes need. So it asks.
func (w *replicaMonitor) unheard() []*fleet.Replica {
	e := w.entry
	now := e.clock.now()
	w.mu.Lock()
	due := w.lost && now-w.lostAt > unheardAfter && now-w.asked > askEvery
	if due {
		w.asked = now
	}
	if !w.lost {
		clear(w.told)
	}
	w.mu.Unlock()
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

// ask takes a replica's own word on its weights.
func (w *replicaMonitor) ask(ctx context.Context, r *fleet.Replica) {
	e := w.entry
	ctx, cancel := context.WithTimeout(ctx, askEvery)
	defer cancel()
	asked := e.clock.now()
	report, notice, err := e.platform.Replicas.Report(ctx, r)
	e.applyNotice(r.ID, &notice, asked, false)
	var other *fleet.MisdirectedError
	switch {
	case errors.As(err, &other):
		e.handleReplaced(r, other.Instance, 0)
	case err != nil:
		// The next question comes soon; requests meet what is wrong before.
	case !r.Matches(report.StartedAtMs):
		e.handleReplaced(r, r.Name, report.StartedAtMs)
	default:
		e.takeReport(r, &report)
		w.tell(r, &report)
	}
}

// wordReport is what a replica has said of itself, which peers that the store doesn't
// answer needn't ask again.
type wordReport struct {
	Replica  string            `cbor:"1,keyasint"`
	Weights  map[string]uint64 `cbor:"2,keyasint,omitempty"`
	Draining bool              `cbor:"3,keyasint,omitempty"`
	Busy     bool              `cbor:"4,keyasint,omitempty"`
	Orders   uint64            `cbor:"5,keyasint,omitempty"`
}

func (a *wordReport) equal(b *wordReport) bool {
	return a.Replica == b.Replica && maps.Equal(a.Weights, b.Weights) &&
		a.Draining == b.Draining && a.Busy == b.Busy && a.Orders == b.Orders
}

// toldReport is a report and how often it was told.
type toldReport struct {
	wordReport
	times int
}

// tell tells the peers of a report that is news. Each replica is asked by few of those that
// hear each other: all entries asking all replicas would be many more questions than
// requests.
func (w *replicaMonitor) tell(r *fleet.Replica, report *fleet.Report) {
	if w.entry.hub == nil {
		return
	}
	said := wordReport{Replica: r.ID, Weights: report.Weights, Draining: report.Draining, Busy: report.Busy, Orders: report.AcceptedOrders}
	w.mu.Lock()
	last := w.told[r.ID]
	if last == nil || !last.equal(&said) {
		last = &toldReport{wordReport: said}
		w.told[r.ID] = last
	}
	last.times++
	news := last.times <= reportsTold
	w.mu.Unlock()
	if news {
		w.entry.peers.broadcast(&peerMessage{From: w.entry.settings.ID, Epoch: uint64(w.entry.tel.Epoch), Reports: []wordReport{said}})
	}
}

// heardReports takes what peers have heard from replicas. The number of orders that a replica
// has taken says which of two reports is the later one.
func (e *Entry) heardReports(reports []wordReport) {
	for _, said := range reports {
		e.state.mu.Lock()
		r := e.state.replicas.Get(said.Replica)
		e.state.mu.Unlock()
		if r != nil {
			e.takeReport(r, &fleet.Report{Weights: said.Weights, Draining: said.Draining, Busy: said.Busy, AcceptedOrders: said.Orders})
		}
	}
}

func (e *Entry) takeReport(r *fleet.Replica, report *fleet.Report) {
	now := e.clock.now()
	s := e.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if report.Draining && s.replicas.MarkLeaving(r.ID) {
		e.tel.Log.Info("replica is leaving", "replica", r.ID, "by", "its report")
	}
	for model, version := range report.Weights {
		if s.board.ObserveVersion(r.ID, model, version, report.AcceptedOrders) {
			s.feed.CacheCleared(r.ID, now)
		}
		phase := rollout.PhaseReleased
		if report.Busy {
			phase = rollout.PhaseOrdered
		}
		s.board.ApplyRecord(&rollout.Record{Replica: r.ID, Model: model, Version: version + 1, Phase: phase}, now)
	}
	if !report.Busy {
		s.notifyChanged()
	}
}

// handleReplaced takes the word of another incarnation at a replica's address, of the name
// given and, where it says so, of its start: the one that was known is gone for good.
// The new one is asked what it is, as the list that would tell may be out of reach; an
// address may also go to another service.
//
// A replica that says it started before the one that is known is none to follow: what
// it said was long under way.
func (e *Entry) handleReplaced(r *fleet.Replica, name string, born int64) {
	if name == r.Name && born <= r.StartedAtMs {
		return
	}
	go func() {
		e.state.mu.Lock()
		e.state.replicas.Replaced(r.ID, e.clock.now())
		e.state.forgetReplica(r.ID)
		e.state.mu.Unlock()
		e.recordReplicaLoss(r.ID)
		e.tel.Log.Info("replica replaced", "replica", r.ID, "address", r.Address, "by", fleet.IncarnationID(name, born))
		if name == "" || len(r.Weights) == 0 {
			return
		}
		e.adopt(r, name)
	}()
}

// adopt takes up a restarted replica of a model before the list tells of it, if it
// serves the same models: their names belong to one service.
func (e *Entry) adopt(old *fleet.Replica, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), askEvery)
	defer cancel()
	report, notice, err := e.platform.Replicas.Report(ctx, old.Restarted(name, 0))
	if err != nil || report.Draining || notice.Leaving {
		return // the list will tell
	}
	for model := range old.Weights {
		if _, serves := report.Weights[model]; !serves {
			return
		}
	}
	born := report.StartedAtMs
	if old.StartedAtMs == 0 {
		born = 0 // the records here don't say, and would count as outdated
	}
	fresh := old.Restarted(name, born)
	fresh.Weights = report.Weights
	e.state.mu.Lock()
	known := e.state.replicas.Get(fresh.ID) != nil
	if known {
		e.state.mu.Unlock()
		return // the list has told
	}
	listing := e.state.replicas.Adopt(fresh, e.clock.now())
	e.applyListing(fresh, &listing, false)
	e.state.mu.Unlock()
	if listing.Outdated {
		e.tel.Log.Info("replica not taken up", "replica", fresh.ID, "address", fresh.Address, "reason", "its record was removed")
		return
	}
	e.endPredecessor(fresh, &listing)
	e.logListing(fresh, &listing, false, 0)
}
