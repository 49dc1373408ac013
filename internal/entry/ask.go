package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/member"
	"skylarklead/internal/protocol"
	"skylarklead/internal/rendezvous"
	"skylarklead/internal/route"
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
func (e *Entry) ask(ctx context.Context, j *job) *protocol.Decision {
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

func noEndpoint(j *job) *protocol.Decision {
	return &protocol.Decision{Request: j.id, Refusal: &protocol.Refusal{
		Code:         protocol.CodeNoEndpoint,
		Message:      fmt.Sprintf("no live endpoint in group %q", j.group),
		Ran:          protocol.NotRun,
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
	for _, id := range rendezvous.Order(route.OwnerKey(j.organisation.ID, j.model, j.levels), ids) {
		if slices.Contains(j.exclude, id) {
			failed = append(failed, byID[id])
			continue
		}
		order = append(order, byID[id])
	}
	return append(order, failed...)
}

// askOwners asks the first of order, and the next ones when it is slow, frozen
// or gone. An Ask has no effect, so the first decision wins and the others are
// dropped. Nil means that all refused, each for itself alone.
func (e *Entry) askOwners(ctx context.Context, j *job, order []member.Member) *protocol.Decision {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	q := e.newInquiry(ctx, j, order[:min(maxOwners, len(order))])
	q.askNext(ctx)
	hedge := time.NewTicker(e.settings.Entry.HedgeAfter.D())
	defer hedge.Stop()
	for q.open() {
		select {
		case r := <-q.replies:
			if q.take(r) {
				return r.decision
			}
			q.askNext(ctx)
		case <-hedge.C:
			q.hedge(ctx)
		case <-ctx.Done():
			return withoutDecision(j, order)
		}
	}
	if q.refusedByAll() {
		return nil
	}
	return withoutDecision(j, order)
}

func (e *Entry) mayHedge(organisation string) bool {
	e.budgetMu.Lock()
	defer e.budgetMu.Unlock()
	return e.budget.Allow(attempt.ExtraHedge, organisation, e.now())
}

// withoutDecision runs the request at the head of the rendezvous order.
func withoutDecision(j *job, order []member.Member) *protocol.Decision {
	return &protocol.Decision{
		Request:  j.id,
		Executor: protocol.Target{Endpoint: order[0].ID, Address: order[0].Address},
		Reason:   reasonNoDecision,
	}
}
