package direct

import (
	"context"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
)

// outage notes when the store last failed to answer the reader of replicas.
type outage struct {
	now     bool
	beganAt time.Duration
	// missedAt is when the last call without an answer was made.
	missedAt time.Duration
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
	f.failed = func(made time.Time) {
		out.missedAt = made.Sub(e.clock.start)
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
	for _, name := range missing {
		// The next record written comes at the list's end.
		e.removeReplica(name, max(page.End, 1)-1, out)
	}
}

func (e *Entry) takeReplica(r fleet.Record, out *outage) {
	if r.Value == nil {
		e.removeReplica(r.Key, r.Offset, out)
		return
	}
	replica, err := e.platform.Records.Replica(r.Key, r.Value)
	if err != nil {
		e.refuseRecord(r, err)
		return
	}
	now := e.clock.now()
	e.state.mu.Lock()
	known := e.state.replicas.Get(replica.ID) != nil
	listing := e.state.replicas.Put(replica, r.Offset, now)
	e.listed(replica, &listing, known)
	e.state.mu.Unlock()
	e.followed(replica, &listing)
	e.logListing(replica, &listing, known, r.Offset)
}

// refuseRecord takes a record that isn't a replica's own: it is of another writer, or
// can't be read. It names no replica to use, and none that had its key before: an entry
// that starts now, and finds only this record, knows of none either.
func (e *Entry) refuseRecord(r fleet.Record, err error) {
	e.malformed.report("replica's record skipped", r, err)
	now := e.clock.now()
	e.state.mu.Lock()
	removed := e.state.replicas.Remove(r.Key, r.Offset, now)
	if removed != "" {
		e.state.forget(removed)
	}
	e.state.mu.Unlock()
	if removed != "" {
		e.tel.Log.Info("replica gone", "replica", removed, "offset", r.Offset, "reason", "its key has another's record")
	}
}

// listed takes what a replica says of itself; known says that something was known of it
// before. The caller holds the state's lock.
func (e *Entry) listed(r *fleet.Replica, listing *member.Listing, known bool) {
	if listing.Outdated || e.state.replicas.Get(r.ID) == nil {
		return
	}
	if listing.Ended != "" {
		e.state.forget(listing.Ended)
	}
	for model, version := range r.Weights {
		if e.state.board.Saw(r.ID, model, version, 0) && known {
			e.state.feed.Emptied(r.ID, e.clock.now())
			listing.Changed = true
		}
	}
	if listing.Changed {
		e.state.signal()
	}
}

// followed ends what was under way at the incarnation that a replica has followed.
func (e *Entry) followed(r *fleet.Replica, listing *member.Listing) {
	if listing.Ended == "" {
		return
	}
	e.replicaLost(listing.Ended)
	taken := e.watch.take(listing.Ended)
	e.rollouts.poke()
	e.tel.Log.Info("replica restarted", "replica", r.ID, "before", listing.Ended, "taken_from_it", taken)
}

func (e *Entry) logListing(r *fleet.Replica, listing *member.Listing, known bool, offset uint64) {
	switch {
	case listing.Outdated:
		e.tel.Log.Info("replica's record outdated", "replica", r.ID, "offset", offset)
	case listing.Changed:
		e.tel.Log.Info("replica listed", "replica", r.ID, "service", r.Service, "address", r.Address,
			"failure_domain", r.FailureDomain, "draining", r.Draining, "weights", r.Weights,
			"new", !known, "offset", offset)
	}
}

// removeReplica takes a replica off the list, at once or, where an outage of the
// store may have made its record lapse, if it isn't back soon.
func (e *Entry) removeReplica(name string, offset uint64, out *outage) {
	now := e.clock.now()
	e.state.mu.Lock()
	lapses := out.recent(now)
	removed := ""
	if lapses {
		e.state.replicas.Lapse(name, offset, now, now+afterOutage)
	} else if removed = e.state.replicas.Remove(name, offset, now); removed != "" {
		e.state.forget(removed)
	}
	e.state.mu.Unlock()
	switch {
	case lapses:
		e.tel.Log.Info("replica lapsed during an outage of the store", "replica", name, "offset", offset,
			"gone_in_ms", afterOutage.Milliseconds(), "outage_began_ms_ago", (now - out.beganAt).Milliseconds(),
			"last_missed_ms_ago", (now - out.missedAt).Milliseconds(), "outage_ended_ms_ago", (now - out.endedAt).Milliseconds())
	case removed != "":
		e.tel.Log.Info("replica gone", "replica", removed, "offset", offset)
	}
}
