package direct

import (
	"context"
	"sync"
	"time"

	"skylarklead/internal/fleet"
	"skylarklead/internal/rollout"
	"skylarklead/internal/spread"
)

// followOperator keeps the configuration and the wanted versions of weights.
func (e *Entry) followOperator(ctx context.Context) {
	topic, _ := e.platform.Records.Topics()
	f := e.newFollower(topic)
	f.keyed, f.readWait = true, operatorWait
	f.topicID = operatorTopicID
	var gap operatorGap
	var relayed bool
	var mu sync.Mutex // calls without an answer are told by another goroutine than records
	f.onReadFailed = func(made time.Time) {
		mu.Lock()
		defer mu.Unlock()
		gap.missed(made.Sub(e.clock.start))
	}
	f.onRead = func(r spread.Read) {
		mu.Lock()
		defer mu.Unlock()
		relayed = r.Reader != "" && r.Reader != e.settings.ID
		gap.answered(e.clock.fromBoot(r.AnsweredAt, f.boot()), e.clock.now())
	}
	when := func(first bool) namedWhen {
		mu.Lock()
		defer mu.Unlock()
		return namedWhen{first: first, relayed: relayed, gap: gap.at(e.clock.now())}
	}
	f.onRecord = func(r fleet.Record) { e.takeOperator(r, when(false)) }
	f.onSnapshot = func(page fleet.Page) {
		for _, r := range page.Records {
			e.takeOperator(r, when(!f.begun))
		}
	}
	f.run(ctx)
}

// operatorGap is the time before an answer of the store in which nothing of the operator's
// records could be read: it began with the answer before, and lastMissed is when the last
// call in it was made. An answer that comes long after the one before ends such a time too:
// this process stood still, or the peers from which it has its answers were lost.
type operatorGap struct {
	away              bool
	since, lastMissed time.Duration
	answeredAt        time.Duration
}

// gapNoticed is from which pause between answers on there was such a time: longer than a read
// that waits, and its answer, take while all is well.
const gapNoticed = operatorWait + callTimeout

func (g *operatorGap) missed(made time.Duration) { g.away, g.lastMissed = true, made }

// answered takes an answer that came to its reader at a time, and here now.
func (g *operatorGap) answered(at, now time.Duration) {
	g.since = now
	if g.away || now-g.answeredAt > gapNoticed {
		g.since = g.answeredAt
	}
	g.away, g.answeredAt = false, at
}

// at is the gap that a record which is taken now may have been written in.
func (g operatorGap) at(now time.Duration) operatorGap {
	if !g.away && now-g.answeredAt > gapNoticed {
		g.since = g.answeredAt
	}
	return g
}

// namedWhen is what is known of when a version was named that is read now.
type namedWhen struct {
	// first says that it was there when the entry first read any, relayed that a peer has
	// read it.
	first, relayed bool
	gap            operatorGap
}

// takeOperator takes a record of the operator.
func (e *Entry) takeOperator(r fleet.Record, when namedWhen) {
	if r.Value == nil {
		e.tel.Log.Warn("operator's record removed; what it said stays in force", "key", r.Key, "offset", r.Offset)
		return
	}
	config, wanted, err := e.platform.Records.Operator(r.Key, r.Value)
	switch {
	case err != nil:
		e.malformed.report("operator's record skipped; the last good one stays in force", r, err)
	case config != nil:
		e.takeConfiguration(config, r.Offset)
	case wanted != nil:
		e.takeWanted(wanted, r.Offset, when)
	default:
		e.tel.Log.Info("operator's record of an unknown kind skipped", "key", r.Key, "offset", r.Offset)
	}
}

// takeConfiguration puts a configuration in force. Versions only go forward: a
// store that serves stale reads for a while, or answers that arrive out of order,
// would otherwise bring back a route or key that was taken away.
func (e *Entry) takeConfiguration(c *fleet.Configuration, offset uint64) {
	old := e.state.config.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	e.quotas.setLimits(c)
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
	// weightsMargin is kept off the time within which named weights must be in use:
	// reading the name and handing a request over take some of it.
	weightsMargin = 600 * time.Millisecond
	// startGrace is how long an entry that has just started still uses weights that
	// were to be replaced when it started.
	startGrace = 3 * time.Second
)

// namedAt is when a version that is read now counts as named. One that was there at
// the start may be long overdue; nobody says since when.
func (e *Entry) namedAt(first bool) time.Duration {
	now := e.clock.now()
	if first {
		return now + startGrace - e.directSettings().WeightsWithin.D()
	}
	return now
}

// namedEarliest is when a version that is read now can have been named at the earliest:
// since the answer before. Older weights stay in use, however, for as long as the operator allows
// after an outage: the entry is held to the naming only once the store has answered it for a while.
func (e *Entry) namedEarliest(gap operatorGap) time.Duration {
	inForce := e.directSettings().WeightsWithin.D() - weightsMargin
	return max(gap.since, gap.lastMissed+storeBindsAfter-dispatchTime-inForce)
}

func (e *Entry) takeWanted(w *fleet.DesiredVersion, offset uint64, when namedWhen) {
	e.state.mu.Lock()
	d := e.state.demands[w.Model]
	if d == nil {
		d = rollout.NewVersionHistory(e.directSettings().WeightsWithin.D() - weightsMargin)
		e.state.demands[w.Model] = d
	}
	before := d.Newest()
	news := d.Add(w.Version, e.namedAt(when.first))
	if news && !when.first {
		d.MarkReadLate(w.Version, e.namedEarliest(when.gap))
	}
	e.applyNamings(w.Model)
	e.state.mu.Unlock()
	if !news {
		return
	}
	if !when.first {
		go e.tellNaming(rollout.Announcement{Model: w.Model, Version: w.Version, Before: before, AtMs: time.Now().UnixMilli()}, when.relayed)
	}
	e.tel.Log.Info("weights wanted", "model", w.Model, "version", w.Version, "before", before, "offset", offset)
	e.rollouts.trigger()
}
