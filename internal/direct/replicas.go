package direct

import (
	"context"
	"time"

	"skylarklead/internal/fleet"
)

// outage notes when the store last failed to answer the reader of replicas.
type outage struct {
	now      bool
	beganAt  time.Duration
	endedAt  time.Duration
	happened bool
}

// recent reports whether a removal read now may be due to an outage.
func (o *outage) recent(now time.Duration) bool {
	return o.now || o.happened && now-o.endedAt < outageMemory
}

// followReplicas keeps the list of replicas.
func (e *Entry) followReplicas(ctx context.Context) {
	_, topic := e.platform.Records.Topics()
	f := newFollower(e.platform.Store, topic, e.tel.Log)
	f.keyed, f.wait = true, replicasWait
	f.pause = func() time.Duration { return min(replicasMost, replicasEvery*time.Duration(e.state.count())) }
	out := &outage{}
	f.failed = func() {
		if !out.now {
			out.now, out.happened, out.beganAt = true, true, e.clock.now()
			e.watch.storeLost(out.beganAt)
		}
	}
	f.reached = func() {
		e.state.listReadAt.Store(int64(e.clock.now()))
		if out.now {
			out.now, out.endedAt = false, e.clock.now()
			e.watch.storeBack()
		}
	}
	f.record = func(r fleet.Record) { e.takeReplica(r, out) }
	f.whole = func(page fleet.Page) { e.takeReplicas(page, out) }
	f.run(ctx)
}

// takeReplicas takes the whole list.
func (e *Entry) takeReplicas(page fleet.Page, out *outage) {
	listed := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		listed[r.Key] = true
		e.takeReplica(r, out)
	}
	e.state.mu.Lock()
	missing := e.state.replicas.Missing(listed)
	e.state.listed = true
	e.state.mu.Unlock()
	for _, id := range missing {
		// The next record written comes at the list's end.
		e.removeReplica(id, max(page.End, 1)-1, out)
	}
}

func (e *Entry) takeReplica(r fleet.Record, out *outage) {
	if r.Value == nil {
		e.removeReplica(r.Key, r.Offset, out)
		return
	}
	replica, err := e.platform.Records.Replica(r.Key, r.Value)
	if err != nil {
		e.tel.Metrics.Count("records_malformed", 1)
		e.tel.Log.Error("replica's record skipped", "replica", r.Key, "offset", r.Offset, "error", err)
		return
	}
	e.putReplica(replica, r.Offset)
}

func (e *Entry) putReplica(r *fleet.Replica, offset uint64) {
	e.state.mu.Lock()
	old := e.state.replicas.Get(r.ID)
	changed := e.state.replicas.Put(r, offset)
	for model, version := range r.Weights {
		if e.state.board.Saw(r.ID, model, version, 0) && old != nil {
			e.state.feed.Emptied(r.ID)
			changed = true
		}
	}
	if changed {
		e.state.signal()
	}
	e.state.mu.Unlock()
	if !changed {
		return
	}
	e.tel.Log.Info("replica listed", "replica", r.ID, "service", r.Service, "address", r.Address,
		"failure_domain", r.FailureDomain, "draining", r.Draining, "weights", r.Weights,
		"new", old == nil, "offset", offset)
}

// removeReplica takes a replica off the list, at once or, where an outage of the
// store may have made its record lapse, if it isn't back soon.
func (e *Entry) removeReplica(id string, offset uint64, out *outage) {
	now := e.clock.now()
	e.state.mu.Lock()
	lapses := out.recent(now)
	removed := false
	if lapses {
		e.state.replicas.Lapse(id, offset, now+afterOutage)
	} else {
		removed = e.state.replicas.Remove(id, offset, now)
		e.state.forget(id)
	}
	e.state.mu.Unlock()
	switch {
	case lapses:
		e.tel.Log.Info("replica lapsed during an outage of the store", "replica", id, "offset", offset,
			"gone_in_ms", afterOutage.Milliseconds())
	case removed:
		e.tel.Log.Info("replica gone", "replica", id, "offset", offset)
	}
}
