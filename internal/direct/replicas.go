package direct

import (
	"context"
	"log/slog"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
	"skylarklead/internal/spread"
)

const (
	// recoveryGrace is how long after the store's return a replica whose record expired in
	// an outage may take to write it again: two seconds by the platform's rules.
	recoveryGrace = 2 * time.Second
	// storeBindsAfter is how long the store must have answered an entry before the platform
	// holds the entry to what was written. dispatchTime is the time from a request's placement
	// to its arrival at the replica, many times what links and a busy entry take.
	storeBindsAfter = 3 * time.Second
	dispatchTime    = 200 * time.Millisecond
	// outageNoticedWithin is the time within which the reader notices that the store doesn't
	// answer: a pause, a read that waits, and its timeout.
	outageNoticedWithin = maxReplicasPause + replicasReadWait + callTimeout
	// peerMessageMaxAge bounds the age of a peer's message that counts as evidence: at 25 entries
	// eight in a row would have to be lost. Over 200 entries messages come less often than that
	// and are no evidence.
	peerMessageMaxAge = time.Second
	// outageLogPeriod is how long after an outage log lines of removals mention it.
	outageLogPeriod = 10 * time.Second
)

var outageParams = member.OutageParams{ReregisterWithin: recoveryGrace, ActWithin: storeBindsAfter - dispatchTime, DetectWithin: outageNoticedWithin, ReportTTL: peerMessageMaxAge}

// followReplicas keeps the replica list up to date.
func (e *Entry) followReplicas(ctx context.Context) {
	_, topic := e.platform.Records.Topics()
	f := e.newFollower(topic)
	f.keyed, f.readWait, f.readPause = true, replicasReadWait, sharedReplicasPause
	f.topicID = replicasTopicID
	if e.hub == nil {
		f.readPauseFunc = func() time.Duration { return min(maxReplicasPause, replicasPause*time.Duration(e.state.entryCount())) }
	}
	f.onReadFailed = e.listCallFailed
	f.onRead = func(r spread.Read) { e.listAnswered(r, f.boot()) }
	f.onRecord = e.applyReplicaRecord
	f.onSnapshot = e.applyReplicaList
	f.onRestore = func(first uint64) {
		e.tel.Log.Warn("store restored from an older copy", "stream", topic, "era", fleet.Era(first))
		e.state.mu.Lock()
		e.state.listRestoredAt = e.clock.now()
		e.state.uses.EraBegan(fleet.Era(first), e.clock.now())
		e.state.mu.Unlock()
	}
	f.run(ctx)
}

// listCallFailed handles a call for the replica list, made at the given time, that got no answer.
func (e *Entry) listCallFailed(made time.Time) {
	now := e.clock.now()
	e.state.mu.Lock()
	begins := e.state.outage.CallFailed(made.Sub(e.clock.start), now)
	e.state.uses.StoreFailed()
	e.state.mu.Unlock()
	if begins {
		e.tel.Log.Warn("replica list is stale: the store does not answer", "list_age_ms", (now - time.Duration(e.state.listReadAt.Load())).Milliseconds())
		e.monitor.markStoreDown(now)
	}
}

// checkListSilence starts an outage if no answer about the replica list arrived from any reader for
// too long.
func (e *Entry) checkListSilence(now time.Duration) {
	e.state.mu.Lock()
	begins := e.state.outage.CheckSilence(now)
	if begins {
		e.state.uses.StoreFailed()
	}
	e.state.mu.Unlock()
	if begins {
		e.tel.Log.Warn("replica list is stale: no answer from any reader", "list_age_ms", (now - time.Duration(e.state.listReadAt.Load())).Milliseconds())
		e.monitor.markStoreDown(now)
	}
}

// checkIsolation has no resumable stream begin while neither the store nor another entry was heard of for too
// long. Without other entries nobody removes the records that this one relies on.
func (e *Entry) checkIsolation(now time.Duration) {
	heard := len(e.peers.addresses()) == 0 || len(e.peers.alive(now)) > 0
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	was := e.state.uses.Isolated()
	if e.state.uses.Heard(time.Duration(e.state.listReadAt.Load()), heard, now) {
		e.state.notifyChanged()
		e.state.placeAllQueued(now)
	}
	if is := e.state.uses.Isolated(); is != was {
		e.tel.Log.Warn("cut off from the store and from all other entries", "streams_refused", is)
	}
}

// listAnswered handles an answer to a call for the replica list, made by this entry or by the read's
// Reader. boot is the current time of the read's clock.
func (e *Entry) listAnswered(r spread.Read, boot time.Duration) {
	if r.CalledAt > 0 {
		e.state.listReadAt.Store(int64(e.clock.fromBoot(r.CalledAt, boot)))
		e.state.listReader.Store(&r.Reader)
	}
	now := e.clock.now()
	answeredAt := e.clock.fromBoot(r.AnsweredAt, boot)
	e.state.mu.Lock()
	ends := !e.state.outage.SaysNothing(answeredAt, now) && e.state.outage.CallAnswered(answeredAt)
	if ends {
		e.state.uses.StoreReturned(now)
	}
	e.state.mu.Unlock()
	if ends {
		e.monitor.markStoreUp()
	}
}

// applyReplicaList applies the whole list.
func (e *Entry) applyReplicaList(page fleet.Page) {
	listed := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		listed[r.Key] = true
		e.applyReplicaRecord(r)
	}
	e.state.mu.Lock()
	missing := e.state.replicas.Missing(listed)
	restoreGrace := e.state.restoreGraceEnd()
	e.state.listRead = true
	e.state.uses.Missed(e.clock.now())
	e.state.mu.Unlock()
	trySignal(e.uses.wake)
	for _, name := range missing {
		// The list doesn't tell the removal's offset. The next record will be at page.End.
		e.removeReplica(name, max(page.End, 1)-1, restoreGrace)
	}
}

// applyReplicaRecord applies one record of the replica list.
func (e *Entry) applyReplicaRecord(r fleet.Record) {
	if r.Value == nil {
		e.removeReplica(r.Key, r.Offset, 0)
		return
	}
	replica, err := e.platform.Records.Replica(r.Key, r.Value)
	if err != nil {
		e.dropRecord(r, err)
		return
	}
	now := e.clock.now()
	e.state.mu.Lock()
	known := e.state.replicas.Get(replica.ID) != nil
	update := e.state.replicas.Put(replica, r.Offset, now)
	e.applyReplicaUpdate(replica, &update, known)
	e.state.mu.Unlock()
	e.endPredecessor(replica, &update)
	e.logReplicaUpdate(replica, &update, known, r.Offset)
}

// dropRecord handles a record that isn't a replica's own or can't be decoded. It removes the replica
// that had its key before: an entry that starts now and finds only this record knows no such replica
// either.
func (e *Entry) dropRecord(r fleet.Record, err error) {
	e.malformed.report("replica's record skipped", r, err)
	now := e.clock.now()
	e.state.mu.Lock()
	removed := e.state.replicas.Remove(r.Key, r.Offset, now)
	if removed != "" {
		e.state.forgetReplica(removed)
	}
	e.state.mu.Unlock()
	if removed != "" {
		e.tel.Log.Info("replica gone", "replica", removed, "offset", r.Offset, "reason", "its key has another's record")
	}
}

// applyReplicaUpdate applies a replica's record, whose effect on the list is update; known says that
// the replica was known before. The caller holds the state's lock.
func (e *Entry) applyReplicaUpdate(r *fleet.Replica, update *member.UpdateResult, known bool) {
	if update.Outdated || e.state.replicas.Get(r.ID) == nil {
		return
	}
	if e.state.listUses(r, e.clock.now()) {
		trySignal(e.uses.wake)
	}
	if update.SupersededID != "" {
		e.state.forgetReplica(update.SupersededID)
	}
	for model, version := range r.Weights {
		if e.state.versionTracker.ObserveVersion(r.ID, model, version, 0) && known {
			e.state.picker.CacheCleared(r.ID, e.clock.now())
			update.Changed = true
		}
	}
	if update.Changed {
		e.state.notifyChanged()
	}
}

// endPredecessor ends the requests in flight at the incarnation that a replica supersedes, and counts the loss
// of one that was at its address.
func (e *Entry) endPredecessor(r *fleet.Replica, update *member.UpdateResult) {
	if update.DisplacedID != "" {
		e.recordReplicaLoss(update.DisplacedID)
		e.tel.Log.Info("replica displaced", "replica", r.ID, "before", update.DisplacedID, "address", r.Address)
	}
	if update.SupersededID == "" {
		return
	}
	e.recordReplicaLoss(update.SupersededID)
	cancelled := e.monitor.cancelRepeatable(update.SupersededID)
	e.monitor.cancelBackedUp(update.SupersededID)
	e.rollouts.trigger()
	e.tel.Log.Info("replica restarted", "replica", r.ID, "before", update.SupersededID, "taken_from_it", cancelled)
}

func (e *Entry) logReplicaUpdate(r *fleet.Replica, update *member.UpdateResult, known bool, offset uint64) {
	switch {
	case update.Outdated:
		e.tel.Log.Info("replica's record outdated", "replica", r.ID, "offset", offset)
	case update.Changed:
		e.tel.Log.Info("replica listed", "replica", r.ID, "service", r.Service, "address", r.Address,
			"failure_domain", r.FailureDomain, "draining", r.Draining, "software", r.Software, "weights", r.Weights,
			"new", !known, "offset", offset)
	}
}

// removeReplica removes a replica whose record is gone: at once or, if the record may have expired
// because of an outage of the store, when the grace period for its return is over, but not before
// restoreGrace (see restoreGraceEnd).
func (e *Entry) removeReplica(name string, offset uint64, restoreGrace time.Duration) {
	now := e.clock.now()
	e.state.mu.Lock()
	grace := e.state.outage.GracePeriod(now)
	removed := ""
	until := max(grace.Until, restoreGrace)
	expired := until > now
	if expired {
		e.state.replicas.MarkExpired(name, offset, now, until)
	} else if removed = e.state.replicas.Remove(name, offset, now); removed != "" {
		e.state.forgetReplica(removed)
	}
	e.state.mu.Unlock()
	outage := slog.Group("outage", "peers", grace.Evidence.String(), "began_ms_ago", (now - grace.Began).Milliseconds(),
		"missed_ms_ago", (now - grace.LastFailed).Milliseconds(), "ended_ms_ago", (now - grace.Ended).Milliseconds())
	switch {
	case expired:
		e.tel.Metrics.Count("replicas_lapsed", 1)
		e.tel.Log.Info("replica's record expired during an outage of the store", "replica", name, "offset", offset,
			"gone_in_ms", (until - now).Milliseconds(), outage)
	case removed != "" && grace.OutageKnown && now-grace.Ended < outageLogPeriod:
		e.tel.Log.Info("replica gone", "replica", removed, "offset", offset, outage)
	case removed != "":
		e.tel.Log.Info("replica gone", "replica", removed, "offset", offset)
	}
}
