package direct

import (
	"context"
	"sync"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/rollout"
	"skylarklead/internal/spread"
)

// followOperator keeps the configuration and the desired versions of weights up to date.
func (e *Entry) followOperator(ctx context.Context) {
	topic, _ := e.platform.Records.Topics()
	f := e.newFollower(topic)
	f.keyed, f.readWait = true, operatorReadWait
	f.topicID = operatorTopicID
	var gap readGap
	var relayed bool
	var mu sync.Mutex // failed calls are reported by a different goroutine than records
	f.onReadFailed = func(made time.Time) {
		mu.Lock()
		defer mu.Unlock()
		gap.failed(made.Sub(e.clock.start))
	}
	f.onRead = func(r spread.Read) {
		mu.Lock()
		defer mu.Unlock()
		relayed = r.Reader != "" && r.Reader != e.settings.ID
		gap.answered(e.clock.fromBoot(r.AnsweredAt, f.boot()), e.clock.now())
	}
	when := func(first bool) announcementContext {
		mu.Lock()
		defer mu.Unlock()
		return announcementContext{first: first, relayed: relayed, gap: gap.at(e.clock.now())}
	}
	f.onRecord = func(r fleet.Record) { e.applyOperatorRecord(r, when(false)) }
	f.onSnapshot = func(page fleet.Page) {
		for _, r := range page.Records {
			e.applyOperatorRecord(r, when(!f.loaded))
		}
	}
	f.run(ctx)
}

// readGap is the period before an answer of the store in which the operator's records could not be
// read. It begins with the previous answer (since); lastFailed is when the last failed call in it
// was made. A long time between two answers counts as such a period even without a failed call:
// this process was suspended, or the peers that provide its reads were lost.
type readGap struct {
	failing           bool
	since, lastFailed time.Duration
	answeredAt        time.Duration
}

// minReadGap is the least time between answers that counts as a gap: longer than a waiting read and
// its answer take while the store is available.
const minReadGap = operatorReadWait + callTimeout

func (g *readGap) failed(made time.Duration) { g.failing, g.lastFailed = true, made }

// answered records an answer that its reader received at one time and this entry at another.
func (g *readGap) answered(at, now time.Duration) {
	g.since = now
	if g.failing || now-g.answeredAt > minReadGap {
		g.since = g.answeredAt
	}
	g.failing, g.answeredAt = false, at
}

// at returns the period in which a record that is applied now may have been written.
func (g readGap) at(now time.Duration) readGap {
	if !g.failing && now-g.answeredAt > minReadGap {
		g.since = g.answeredAt
	}
	return g
}

// announcementContext tells when a version that is read now may have been announced.
type announcementContext struct {
	// first says that the version was there when this entry first read the topic, relayed that a
	// peer read it.
	first, relayed bool
	gap            readGap
}

// applyOperatorRecord applies a record of the operator.
func (e *Entry) applyOperatorRecord(r fleet.Record, when announcementContext) {
	if r.Value == nil {
		e.tel.Log.Warn("operator's record removed; its last value stays in force", "key", r.Key, "offset", r.Offset)
		return
	}
	config, desired, err := e.platform.Records.Operator(r.Key, r.Value)
	switch {
	case err != nil:
		e.malformed.report("operator's record skipped; the last valid one stays in force", r, err)
	case config != nil:
		e.applyConfiguration(config, r.Offset)
	case desired != nil:
		e.applyDesired(desired, r.Offset, when)
	default:
		e.tel.Log.Info("operator's record of an unknown kind skipped", "key", r.Key, "offset", r.Offset)
	}
}

// applyConfiguration puts a configuration in force. Versions only go forward: a store that serves
// stale reads for a while, or answers that arrive out of order, would otherwise bring back a route
// or key that was removed.
func (e *Entry) applyConfiguration(c *fleet.Configuration, offset uint64) {
	old := e.state.config.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	e.quotas.setQuotas(c)
	e.state.config.Store(&configuration{Configuration: c, appliedAt: e.clock.now()})
	e.state.mu.Lock()
	e.state.notifyChanged()
	e.state.mu.Unlock()
	var before uint64
	if old != nil {
		before = old.Version
	}
	e.tel.Log.Info("configuration in force", "version", c.Version, "before", before, "offset", offset,
		"routes", len(c.Routes), "services", len(c.Services), "organisations", len(c.Organisations), "keys", len(c.Keys))
}

const (
	// weightsMargin is subtracted from the time within which announced weights must be in use:
	// reading the announcement and dispatching a request take part of it.
	weightsMargin = 600 * time.Millisecond
	// startGrace is how long an entry that has just started keeps using weights whose replacement
	// was due when it started.
	startGrace = 3 * time.Second
)

// announcedAt returns when a version that is read now counts as announced. A version that was there
// at the start may be long overdue, and nothing in its record tells since when.
func (e *Entry) announcedAt(first bool) time.Duration {
	now := e.clock.now()
	if first {
		return now + startGrace - e.directSettings().WeightsWithin.D()
	}
	return now
}

// earliestAnnouncement returns the earliest time at which a version that is read now can have been
// announced: the previous answer of the store. After an outage older weights remain allowed,
// however, for as long as the operator permits: an entry is bound by an announcement only after the
// store has answered it for a while.
func (e *Entry) earliestAnnouncement(gap readGap) time.Duration {
	inForce := e.directSettings().WeightsWithin.D() - weightsMargin
	return max(gap.since, gap.lastFailed+storeBindsAfter-dispatchTime-inForce)
}

func (e *Entry) applyDesired(desired *fleet.DesiredVersion, offset uint64, when announcementContext) {
	e.state.mu.Lock()
	history := e.state.versionHistories[desired.Model]
	if history == nil {
		history = rollout.NewVersionHistory(e.directSettings().WeightsWithin.D() - weightsMargin)
		e.state.versionHistories[desired.Model] = history
	}
	before := history.Newest()
	isNew := history.Add(desired.Version, e.announcedAt(when.first))
	if isNew && !when.first {
		history.MarkReadLate(desired.Version, e.earliestAnnouncement(when.gap))
	}
	e.applyAnnouncements(desired.Model)
	e.state.mu.Unlock()
	if !isNew {
		return
	}
	if !when.first {
		go e.recordAnnouncement(rollout.Announcement{Model: desired.Model, Version: desired.Version, Before: before, AtMs: time.Now().UnixMilli()}, when.relayed)
	}
	e.tel.Log.Info("new weights version read", "model", desired.Model, "version", desired.Version, "before", before, "offset", offset)
	e.rollouts.trigger()
}
