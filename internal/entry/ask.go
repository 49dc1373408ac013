package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/follow"
	"skylarklead/internal/member"
	"skylarklead/internal/route"
	"skylarklead/internal/wire"
)

const (
	// maxOwners is how many endpoints, in rendezvous order, are asked at most.
	maxOwners = 3
	// askTimeout bounds the whole question. Past it the request is run without a
	// decision: a miss in the cache costs less than the caller's wait.
	askTimeout = 500 * time.Millisecond
	// reasonNoDecision marks a request that was run where the rendezvous order
	// pointed since no owner answered in time.
	reasonNoDecision = "no_decision"
	// noEndpointRetry is when to come back while a group has no endpoint.
	noEndpointRetry = 2 * time.Second
)

// ask finds an executor for a chat request: by its prefix's owner, or by the
// baseline policy in force. Nil means that nobody could say.
func (e *Entry) ask(ctx context.Context, j *job) *wire.Decision {
	live := e.directory.live(j.group)
	if len(live) == 0 {
		return noEndpoint(j)
	}
	if e.chooser != nil {
		return e.chooser.choose(j, live)
	}
	decision := e.askOwners(ctx, j, ownerOrder(j, live))
	if decision == nil || !j.mayUse(decision.Version) {
		return decision
	}
	// The group's engines are changing versions, and most have another one. Its
	// prefixes have other owners.
	j.useVersion(decision.Version)
	return e.askOwners(ctx, j, ownerOrder(j, live))
}

// mayUse reports whether the request may be run under another version.
func (j *job) mayUse(version string) bool {
	return j.anyVersion && version != "" && version != j.version && j.organisation.Allows(j.model, version)
}

func noEndpoint(j *job) *wire.Decision {
	return &wire.Decision{Request: j.id, Refusal: &wire.Refusal{
		Code:         wire.CodeNoEndpoint,
		Message:      fmt.Sprintf("no live endpoint in group %q", j.group),
		Ran:          wire.NotRun,
		RetryAfterMs: noEndpointRetry.Milliseconds(),
	}}
}

// ownerOrder sorts endpoints by rendezvous on the prompt's first level. Those
// that the request has failed at already come last.
func ownerOrder(j *job, live []member.Member) []member.Member {
	byID := make(map[string]member.Member, len(live))
	ids := make([]string, len(live))
	for i, m := range live {
		ids[i] = m.ID
		byID[m.ID] = m
	}
	var order, failed []member.Member
	for _, id := range route.Order(route.OwnerKey(j.organisation.ID, j.model, j.levels), ids) {
		if slices.Contains(j.exclude, id) {
			failed = append(failed, byID[id])
			continue
		}
		order = append(order, byID[id])
	}
	return append(order, failed...)
}

// reply is one owner's answer to an Ask.
type reply struct {
	from     member.Member
	decision *wire.Decision
	err      error
}

// askOwners asks the first of order, and the next ones when it is slow, frozen
// or gone. An Ask has no effect, so the first decision wins and the others are
// dropped.
func (e *Entry) askOwners(ctx context.Context, j *job, order []member.Member) *wire.Decision {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	question := j.ask(e.settings.FailureDomain)
	// Only a debug line shows them here; `skylarkctl explain` asks the owner too.
	question.Explain = e.tel.Log.Enabled(ctx, slog.LevelDebug)
	question.Exclude = append(e.directory.shunned(j.group), question.Exclude...)
	owners := order[:min(maxOwners, len(order))]
	replies := make(chan reply, len(owners))
	asked, answered := 0, 0
	askNext := func() {
		if asked < len(owners) {
			go e.askOne(ctx, owners[asked], question, replies)
			asked++
		}
	}
	askNext()
	hedge := time.NewTicker(e.settings.Entry.HedgeAfter.D())
	defer hedge.Stop()
	refusedByAll := true
	for answered < len(owners) {
		select {
		case r := <-replies:
			answered++
			if e.settles(r) {
				return r.decision
			}
			refusedByAll = refusedByAll && r.err == nil
			askNext()
		case <-hedge.C:
			if asked < len(owners) && e.mayHedge() {
				e.tel.Metrics.Hedges.Inc(1)
				askNext()
			}
		case <-ctx.Done():
			return withoutDecision(j, order)
		}
	}
	if refusedByAll {
		return nil
	}
	return withoutDecision(j, order)
}

func (e *Entry) mayHedge() bool {
	e.budgetMu.Lock()
	defer e.budgetMu.Unlock()
	return e.budget.Allow(attempt.ExtraHedge, e.now())
}

// withoutDecision runs the request at the head of the rendezvous order.
func withoutDecision(j *job, order []member.Member) *wire.Decision {
	return &wire.Decision{
		Request:  j.id,
		Executor: wire.Target{Endpoint: order[0].ID, Address: order[0].Address},
		Reason:   reasonNoDecision,
	}
}

func (e *Entry) askOne(ctx context.Context, to member.Member, question *wire.Ask, replies chan<- reply) {
	decision, err := e.askAt(ctx, to, question)
	if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		e.directory.failed(to.ID)
		e.tel.Log.Warn("owner didn't answer", "request", question.Request, "owner", to.ID, "error", err)
	}
	replies <- reply{from: to, decision: decision, err: err}
}

func (e *Entry) askAt(ctx context.Context, to member.Member, question *wire.Ask) (*wire.Decision, error) {
	session, err := e.session(ctx, to.Address)
	if err != nil {
		return nil, err
	}
	answer, err := session.Call(ctx, question)
	if err != nil {
		return nil, err
	}
	switch m := answer.(type) {
	case *wire.Decision:
		e.config.Heard(m.ConfigOffset, follow.SessionFetch(session))
		return m, nil
	case *wire.Failure:
		return &wire.Decision{Request: question.Request, Refusal: &m.Refusal}, nil
	}
	return nil, fmt.Errorf("entry: %T in answer to an Ask", answer)
}

// settles reports whether a reply decides where the request runs, or that it
// doesn't. A refusal that speaks only for its sender, such as that it is leaving,
// settles nothing.
func (e *Entry) settles(r reply) bool {
	if r.err != nil {
		return false
	}
	d := r.decision
	if d.Refusal != nil {
		if d.Refusal.Code == wire.CodeDraining {
			e.directory.left(r.from.ID, r.from.Epoch)
		}
		return !ownRefusal(d.Refusal.Code)
	}
	e.directory.reported(d.Unavailable)
	if d.Executor.Address == "" {
		known, ok := e.directory.lookup(d.Executor.Endpoint)
		d.Executor.Address = known.Address
		return ok
	}
	return true
}

// ownRefusal reports whether a refusal says nothing of other owners.
func ownRefusal(code wire.Code) bool {
	switch code {
	case wire.CodeDraining, wire.CodeNotRun, wire.CodeInternal, wire.CodeBadRequest:
		return true
	}
	return false
}
