package direct

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/attempt"
	"skylarklead/internal/fleet"
	"skylarklead/internal/member"
	"skylarklead/internal/route"
	"skylarklead/internal/runcopy"
	"skylarklead/internal/upstream"
)

const (
	// sourceCheckTimeout bounds one query of a replica whose stream broke off. It is the
	// timeout of a connection, which it includes.
	sourceCheckTimeout = upstream.DialTimeout
	// lostDials is how many connections in a row must time out before a replica counts as lost:
	// a single one may have lost a packet.
	lostDials = 2
	// pickContinued is the reason of a dispatch that goes on from a backup.
	pickContinued = "backup"
)

// runBackup is the backup of a placement's run.
type runBackup struct {
	target *fleet.Replica
	tokens int
	// sourceChanged is set once the stream has shown that its replica loaded other weights.
	sourceChanged bool
}

// runContinuation is set for a placement whose run goes on from a backup.
type runContinuation struct {
	copy fleet.RunCopy
	join *runcopy.Join
}

// backupStats is what the request's log line says of its backup.
type backupStats struct {
	// target keeps the backup; "" for none, and skipped says why.
	target  string
	skipped runcopy.SkipReason
	// source is the replica that was lost, events how many events the caller had by then, worked the
	// time from the first to the last event of the source, silence that from the last one to the break.
	source          string
	state           runcopy.SourceState
	events          int
	worked, silence time.Duration
	// took is the time from the break to the decision, reason why the run didn't go on.
	took   time.Duration
	reason string
}

// setBackup chooses the replica that keeps a backup of the run, if it gets one. The caller holds the
// state's lock.
func (req *request) setBackup(p *placement, candidates []route.PickCandidate, now time.Duration) {
	e, s := req.entry, req.entry.state
	if !e.directSettings().RunBackups || req.service.Engine == nil || !req.service.Engine.Transfer.Backups ||
		req.route.Kind != fleet.Streaming || p.version == 0 {
		return
	}
	run := &runcopy.Run{
		RequestID: xxhash.Sum64String(req.params.ID), Repeatable: req.route.Repeatable(),
		Tokens:       req.query.PromptTokens + req.query.OutputTokens,
		ExpectedTime: s.picker.ExpectedStreamTime(&req.query),
		CopyInterval: req.service.Engine.Transfer.CopyInterval,
		Objective:    req.route.LatencyTarget,
		Version:      p.version,
		Software:     p.replica.Software,
		Source:       runcopy.Place{ID: p.replica.ID, Address: p.replica.Address, FailureDomain: p.replica.FailureDomain},
	}
	target, skipped := s.chooseBackup(run, &req.query, candidates, now)
	req.backupStats.target, req.backupStats.skipped = target, skipped
	if skipped != "" {
		e.tel.Metrics.Count("backups_skipped_"+string(skipped), 1)
		return
	}
	p.backup = &runBackup{target: s.replicas.Get(target), tokens: run.Tokens}
	s.backups.Begin(target, run.Tokens)
	e.tel.Metrics.Count("backups_started", 1)
}

// chooseBackup returns the ID of the replica that is to keep a run's backup. The caller holds mu.
func (s *state) chooseBackup(run *runcopy.Run, q *route.PickQuery, candidates []route.PickCandidate, now time.Duration) (string, runcopy.SkipReason) {
	if skipped := runcopy.Wanted(run); skipped != "" {
		return "", skipped
	}
	targets := s.backupCandidates(q, candidates, now)
	i, skipped := runcopy.Choose(run, targets, s.backups, s.entries, now)
	if skipped != "" {
		return "", skipped
	}
	return targets[i].ID, ""
}

// backupCandidates describes the replicas that may take a request as targets of backups. The caller
// holds mu.
func (s *state) backupCandidates(q *route.PickQuery, candidates []route.PickCandidate, now time.Duration) []runcopy.Candidate {
	s.backupTargets = s.backupTargets[:0]
	for i := range candidates {
		c := &candidates[i]
		free, backlog := s.picker.Spare(now, q, c)
		r := s.replicas.Get(c.ID)
		s.backupTargets = append(s.backupTargets, runcopy.Candidate{
			Place:   runcopy.Place{ID: c.ID, Address: r.Address, FailureDomain: c.FailureDomain},
			Version: c.Version, Software: r.Software, FreeTokens: free, Backlog: backlog, Faulty: c.RecentFaults,
			LoadIn: c.RolloutIn, LoadPlanned: c.RolloutPlanned,
		})
	}
	return s.backupTargets
}

// endBackup ends the count of a placement's backup. Unless the run was complete or never began, the
// replica keeps the copy for a time. The caller holds the state's lock.
func (req *request) endBackup(p *placement, noCopy bool) {
	if p.backup == nil {
		return
	}
	at := req.entry.clock.now()
	if !noCopy {
		at += req.service.Engine.Transfer.CopyLifetime
	}
	req.entry.state.backups.End(p.backup.target.ID, p.backup.tokens, at)
}

// setBackupHeaders sets what a dispatch says of backups.
func (p *placement) setBackupHeaders(dispatch *fleet.DispatchHeaders) {
	if p.backup != nil {
		dispatch.BackupTo = p.backup.target.Address
	}
	if p.continuation != nil {
		dispatch.ContinueFrom = p.continuation.copy
	}
}

// checkEvent says what to do with an event, and looks for signs that the copy of the run's memory is
// not of one version of the weights.
func (req *request) checkEvent(p *placement, in *sseReader) runcopy.Verdict {
	if p.backup != nil && !p.backup.sourceChanged {
		version := req.entry.platform.Headers.EventVersion(in.raw)
		p.backup.sourceChanged = version != 0 && version != p.version
	}
	if p.continuation == nil {
		return runcopy.Forward
	}
	return p.continuation.join.Next(in.id)
}

// errEventsDontJoin reports a continued stream that doesn't follow what the caller has.
var errEventsDontJoin = errors.New("direct: the continued stream does not follow the events sent before")

// continueRun goes on with a run whose replica was lost, at the replica that has its backup. It
// reports whether the request was answered. If not, it counts as broken off, as without a backup.
func (req *request) continueRun(p *placement, failure attempt.DispatchFailure) (done bool) {
	if p.backup == nil || failure != attempt.FailureUnknown || req.ctx.Err() != nil {
		return false
	}
	stats := &req.backupStats
	stats.source, stats.events, stats.worked = p.replica.ID, req.eventCount, p.lastEventAt-p.firstEventAt
	began := req.entry.clock.now()
	if p.events > 0 {
		stats.silence = began - p.lastEventAt
	}
	if !req.entry.bodyMemory.keep(&req.body) {
		stats.reason = reasonBodyDropped
		req.entry.tel.Metrics.Count("runs_not_continued_"+stats.reason, 1)
		return false
	}
	if reason := req.precludeContinuation(p, began); reason != "" {
		stats.state, stats.reason = runcopy.SourceUnchecked, reason
		req.entry.tel.Metrics.Count("runs_not_continued_"+reason, 1)
		return false
	}
	report := req.checkReplicas(p)
	next, reason := req.placeContinuation(p, report, began)
	stats.took = req.entry.clock.now() - began
	if next != nil {
		failure, done = req.forward(next)
		if !done {
			reason = string(runcopy.StopTargetFailed)
		}
		if failure == attempt.FailureNotRun {
			reason = string(runcopy.StopNoCopy)
		}
	}
	if !done {
		stats.reason = reason
		req.entry.tel.Metrics.Count("runs_not_continued_"+reason, 1)
		return false
	}
	req.entry.tel.Metrics.Count("runs_continued", 1)
	return true
}

// precludeContinuation returns why a run doesn't go on whatever its replicas report; "" if that decides. What
// became of its source is then found out for other requests only, while the caller has its answer.
func (req *request) precludeContinuation(p *placement, brokenAt time.Duration) string {
	s := req.entry.state
	s.mu.Lock()
	reason := runcopy.Preclude(req.situation(p, nil, brokenAt, req.entry.clock.now()))
	s.mu.Unlock()
	if reason != "" {
		go req.checkSource(context.WithoutCancel(req.ctx), p)
	}
	return string(reason)
}

// checkReplicas finds out, at the same time, what became of the replica whose stream broke off, and what
// the one with the backup reports, nil if it doesn't.
func (req *request) checkReplicas(p *placement) *fleet.Report {
	var report *fleet.Report
	var queried sync.WaitGroup
	queried.Go(func() { report = req.queryTarget(p.backup.target) })
	req.backupStats.state = req.checkSource(req.ctx, p)
	queried.Wait()
	return report
}

// queryTarget queries the replica of the backup for its state. It returns nil if that doesn't answer in
// time, or is another incarnation.
func (req *request) queryTarget(target *fleet.Replica) *fleet.Report {
	ctx, cancel := context.WithTimeout(req.ctx, sourceCheckTimeout)
	defer cancel()
	report, _, err := req.entry.platform.Replicas.Report(ctx, target)
	if err != nil || !target.Matches(report.StartedAtMs) {
		return nil
	}
	return &report
}

// checkSource finds out what became of the replica whose stream broke off.
func (req *request) checkSource(ctx context.Context, p *placement) runcopy.SourceState {
	e := req.entry
	if e.monitor.replicaEnded(p.inFlight) {
		return runcopy.SourceGone
	}
	replica := upstream.Replica{ID: p.replica.ID, Address: p.replica.Address}
	for range lostDials {
		probeCtx, cancel := context.WithTimeout(ctx, sourceCheckTimeout)
		err := e.pool.Probe(probeCtx, replica)
		cancel()
		switch {
		case err == nil:
			return req.checkIncarnation(ctx, p.replica)
		case ctx.Err() != nil:
			return runcopy.SourceUnknown
		}
		e.markUnreachable(p.replica, "backup of request "+req.params.ID, err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return runcopy.SourceGone
		}
	}
	return runcopy.SourceLost
}

// checkIncarnation finds out whether the incarnation that ran the request still answers at its address.
func (req *request) checkIncarnation(ctx context.Context, source *fleet.Replica) runcopy.SourceState {
	e := req.entry
	ctx, cancel := context.WithTimeout(ctx, sourceCheckTimeout)
	defer cancel()
	report, _, err := e.platform.Replicas.Report(ctx, source)
	var misdirected *fleet.MisdirectedError
	switch {
	case errors.As(err, &misdirected), err == nil && !source.Matches(report.StartedAtMs):
		e.recordReplicaLoss(source.ID)
		return runcopy.SourceGone
	case err != nil:
		return runcopy.SourceUnknown
	}
	return runcopy.SourceAlive
}

// placeContinuation decides whether a run that broke off goes on from its backup, and returns the
// placement, or nil and the reason.
func (req *request) placeContinuation(p *placement, report *fleet.Report, brokenAt time.Duration) (*placement, string) {
	s := req.entry.state
	s.mu.Lock()
	defer s.mu.Unlock()
	now := req.entry.clock.now()
	if reason := runcopy.Decide(req.situation(p, report, brokenAt, now)); reason != "" {
		return nil, string(reason)
	}
	if reason := req.plan.Continue(now); reason != "" {
		return nil, reason
	}
	target := p.backup.target
	next := &placement{
		replica: target, version: p.version, pickedAt: now,
		choice: route.PickResult{ID: target.ID, Reason: pickContinued},
		continuation: &runContinuation{
			copy: fleet.RunCopy{Source: target.Address, Handle: req.params.ID},
			join: runcopy.NewJoin(req.params.LastEvent, req.lastEventID, req.eventCount),
		},
	}
	// The copy has the prompt: the run adds nothing to prefill, and no prefix to the cache.
	req.query.Levels, req.query.SharedTokens, req.query.PromptTokens = nil, 0, 0
	s.picker.Dispatched(now, &req.query, &next.choice)
	s.rateLimits.Take(target.ID, now)
	req.dispatches = append(req.dispatches, dispatchRecord{replica: target.ID, reason: pickContinued, candidateCount: 1, version: p.version, software: target.Software, drainLeft: req.entry.drain.left()})
	return next, ""
}

// situation is what the decision to continue a run depends on. The caller holds the state's lock.
func (req *request) situation(p *placement, report *fleet.Report, brokenAt, now time.Duration) *runcopy.Situation {
	s, model, source, target := req.entry.state, req.params.Model, p.replica.ID, p.backup.target.ID
	sourceVersion := s.versionTracker.Version(source, model)
	health := s.replicas.Health(target, now)
	software := s.softwareAt(p.replica)
	return &runcopy.Situation{
		Source: req.backupStats.state,
		Events: p.events, Worked: p.lastEventAt - p.firstEventAt,
		Silence: brokenAt - p.lastEventAt, SinceEvent: now - p.lastEventAt,
		Transfer: req.service.Engine.Transfer,
		Suspect:  s.crashes.Suspect(req.keys, now) || len(s.crashes.Restricted(req.keys, now)) > 0,
		Version:  p.version,
		SourceChanged: p.backup.sourceChanged || s.versionTracker.Ordered(source, model, now) ||
			sourceVersion != 0 && sourceVersion != p.version,
		CopyTokens: p.backup.tokens, TargetReport: report,
		TargetUsable:    health != member.Left && health != member.Down && s.rateLimits.Allows(target, now),
		TargetDoubtful:  health == member.Degraded || s.replicas.TroubledSince(target, p.pickedAt),
		TargetVersion:   s.versionTracker.Version(target, model),
		TargetOrdered:   s.versionTracker.Ordered(target, model, now),
		SoftwareDiffers: software == "" || software != s.softwareAt(p.backup.target),
		PatienceLeft:    req.eventPatienceLeft(brokenAt, now),
	}
}

// eventPatienceLeft is the time for which the caller still waits for the next event of a stream that
// broke off at brokenAt.
func (req *request) eventPatienceLeft(brokenAt, now time.Duration) time.Duration {
	if req.firstByte == 0 || req.route.Patience == 0 {
		return req.patienceLeft(now)
	}
	return min(req.deadline-now, brokenAt+req.route.Patience-now)
}

// attr is the log attribute of a request's backup.
func (b *backupStats) attr() slog.Attr {
	fields := []any{slog.String("replica", b.target)}
	if b.skipped != "" {
		fields = append(fields, slog.String("skipped", string(b.skipped)))
	}
	if b.source != "" {
		fields = append(fields, slog.String("continued_from", b.source), slog.String("source", b.state.String()),
			slog.Int("events_at_break", b.events), slog.Float64("worked_ms", ms(b.worked)), slog.Float64("silent_ms", ms(b.silence)), slog.Float64("decided_ms", ms(b.took)))
	}
	if b.reason != "" {
		fields = append(fields, slog.String("not_continued", b.reason))
	}
	return slog.Group("backup", fields...)
}
