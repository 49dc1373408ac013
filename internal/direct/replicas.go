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
	// afterOutage is how long a replica that fell off the list in an outage may take
	// to come back: the platform's two seconds of the store's return.
	afterOutage = 2 * time.Second
	// storeBindsAfter is for how long the store must have answered an entry before that is held to
	// what was written, by the platform's word; placing is the time that a request needs
	// from its decision to its replica, many times what links and a busy entry take.
	storeBindsAfter = 3 * time.Second
	dispatchTime    = 200 * time.Millisecond
	// missSeen is within which time the reader notices that the store doesn't answer: a
	// pause, a read that waits, and the time that its answer may take.
	missSeen = maxReplicasReadPause + replicasReadWait + callTimeout
	// wordFresh is how old a peer's word may be: at 25 entries eight of them in a row would
	// have to be lost. Over 200 entries words are rarer than that, and tell nothing here.
	wordFresh = time.Second
	// outageShown is for how long after an outage the lines of removals tell of it.
	outageShown = 10 * time.Second
)

var outageParams = member.OutageParams{ReregisterWithin: afterOutage, ActWithin: storeBindsAfter - dispatchTime, DetectWithin: missSeen, ReportTTL: wordFresh}

// followReplicas keeps the list of replicas.
func (e *Entry) followReplicas(ctx context.Context) {
	_, topic := e.platform.Records.Topics()
	f := e.newFollower(topic)
	f.keyed, f.readWait, f.readPause = true, replicasReadWait, sharedReplicasReadPause
	f.topicID = replicasTopicID
	if e.hub == nil {
		f.readPauseFunc = func() time.Duration {
			return min(maxReplicasReadPause, replicasReadPause*time.Duration(e.state.entryCount()))
		}
	}
	f.onReadFailed = e.listMissed
	f.onRead = func(r spread.Read) { e.listAnswered(r, f.boot()) }
	f.onRecord = e.applyReplicaRecord
	f.onSnapshot = e.takeReplicas
	f.onRestore = func(first uint64) {
		e.tel.Log.Warn("store is back from an older copy", "stream", topic, "era", fleet.Era(first))
		e.state.mu.Lock()
		e.state.listRewound = e.clock.now()
		e.state.mu.Unlock()
	}
	f.run(ctx)
}

// listMissed takes a call for the list that got no answer, with when it was made.
func (e *Entry) listMissed(made time.Time) {
	now := e.clock.now()
	e.state.mu.Lock()
	begins := e.state.outage.CallFailed(made.Sub(e.clock.start), now)
	e.state.mu.Unlock()
	if begins {
		e.watch.markStoreDown(now)
	}
}

// listSilent looks whether nobody's answer for the list has come for too long.
func (e *Entry) listSilent(now time.Duration) {
	e.state.mu.Lock()
	begins := e.state.outage.CheckSilence(now)
	e.state.mu.Unlock()
	if begins {
		e.tel.Log.Warn("list of replicas not heard of", "list_age_ms", (now - time.Duration(e.state.listReadAt.Load())).Milliseconds())
		e.watch.markStoreDown(now)
	}
}

// listAnswered takes an answer to a call for the list, of this entry or of the one that the
// reading names; boot is the time of the readings' clock.
func (e *Entry) listAnswered(r spread.Read, boot time.Duration) {
	if r.CalledAt > 0 {
		e.state.listReadAt.Store(int64(e.clock.fromBoot(r.CalledAt, boot)))
		e.state.listReader.Store(&r.Reader)
	}
	e.state.mu.Lock()
	ends := e.state.outage.CallAnswered(e.clock.fromBoot(r.AnsweredAt, boot))
	e.state.mu.Unlock()
	if ends {
		e.watch.markStoreUp()
	}
}

// takeReplicas takes the whole list.
func (e *Entry) takeReplicas(page fleet.Page) {
	listed := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		listed[r.Key] = true
		e.applyReplicaRecord(r)
	}
	e.state.mu.Lock()
	missing := e.state.replicas.Missing(listed)
	grace := e.state.rewoundUntil()
	e.state.listed = true
	e.state.mu.Unlock()
	for _, name := range missing {
		// The next record written comes at the list's end.
		e.removeReplica(name, max(page.End, 1)-1, grace)
	}
}

func (e *Entry) applyReplicaRecord(r fleet.Record) {
	if r.Value == nil {
		e.removeReplica(r.Key, r.Offset, 0)
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
	e.applyListing(replica, &listing, known)
	e.state.mu.Unlock()
	e.endPredecessor(replica, &listing)
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
		e.state.forgetReplica(removed)
	}
	e.state.mu.Unlock()
	if removed != "" {
		e.tel.Log.Info("replica gone", "replica", removed, "offset", r.Offset, "reason", "its key has another's record")
	}
}

// applyListing takes what a replica says of itself; known says that something was known of it
// before. The caller holds the state's lock.
func (e *Entry) applyListing(r *fleet.Replica, listing *member.UpdateResult, known bool) {
	if listing.Outdated || e.state.replicas.Get(r.ID) == nil {
		return
	}
	if listing.SupersededID != "" {
		e.state.forgetReplica(listing.SupersededID)
	}
	for model, version := range r.Weights {
		if e.state.board.ObserveVersion(r.ID, model, version, 0) && known {
			e.state.feed.CacheCleared(r.ID, e.clock.now())
			listing.Changed = true
		}
	}
	if listing.Changed {
		e.state.notifyChanged()
	}
}

// endPredecessor ends what was under way at the incarnation that a replica has endPredecessor.
func (e *Entry) endPredecessor(r *fleet.Replica, listing *member.UpdateResult) {
	if listing.SupersededID == "" {
		return
	}
	e.recordReplicaLoss(listing.SupersededID)
	taken := e.watch.cancelRepeatable(listing.SupersededID)
	e.rollouts.trigger()
	e.tel.Log.Info("replica restarted", "replica", r.ID, "before", listing.SupersededID, "taken_from_it", taken)
}

func (e *Entry) logListing(r *fleet.Replica, listing *member.UpdateResult, known bool, offset uint64) {
	switch {
	case listing.Outdated:
		e.tel.Log.Info("replica's record outdated", "replica", r.ID, "offset", offset)
	case listing.Changed:
		e.tel.Log.Info("replica listed", "replica", r.ID, "service", r.Service, "address", r.Address,
			"failure_domain", r.FailureDomain, "draining", r.Draining, "weights", r.Weights,
			"new", !known, "offset", offset)
	}
}

// removeReplica takes a replica off the list, at once or, where its record may have
// lapsed while the store was away, if it isn't back soon; in any case not before grace.
func (e *Entry) removeReplica(name string, offset uint64, grace time.Duration) {
	now := e.clock.now()
	e.state.mu.Lock()
	excuse := e.state.outage.GracePeriod(now)
	removed := ""
	until := max(excuse.Until, grace)
	kept := until > now
	if kept {
		e.state.replicas.MarkExpired(name, offset, now, until)
	} else if removed = e.state.replicas.Remove(name, offset, now); removed != "" {
		e.state.forgetReplica(removed)
	}
	e.state.mu.Unlock()
	outage := slog.Group("outage", "peers", excuse.Evidence.String(), "began_ms_ago", (now - excuse.Began).Milliseconds(),
		"missed_ms_ago", (now - excuse.LastFailed).Milliseconds(), "ended_ms_ago", (now - excuse.Ended).Milliseconds())
	switch {
	case kept:
		e.tel.Metrics.Count("replicas_lapsed", 1)
		e.tel.Log.Info("replica lapsed during an outage of the store", "replica", name, "offset", offset,
			"gone_in_ms", (until - now).Milliseconds(), outage)
	case removed != "" && excuse.OutageKnown && now-excuse.Ended < outageShown:
		e.tel.Log.Info("replica gone", "replica", removed, "offset", offset, outage)
	case removed != "":
		e.tel.Log.Info("replica gone", "replica", removed, "offset", offset)
	}
}
