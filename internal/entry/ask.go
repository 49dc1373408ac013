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
	// maxOwners bounds how many endpoints, in rendezvous order, are asked.
	maxOwners = 3
	// askTimeout bounds asking all owners. After it the request runs without a
	// decision: a cache miss costs less than further waiting.
	askTimeout = 500 * time.Millisecond
	// reasonNoDecision marks a request that was sent to the first endpoint in
	// rendezvous order because no owner answered in time.
	reasonNoDecision = "no_decision"
	// noEndpointRetryAfter is the retry delay given to callers while a group has no
	// endpoint.
	noEndpointRetryAfter = 2 * time.Second
)

// placeChat finds an executor for a chat request: by asking its prefix's owners, or
// by the configured baseline policy. It returns nil if there is no decision.
func (e *Entry) placeChat(ctx context.Context, j *job) *protocol.Decision {
	live := e.directory.live(j.group)
	if len(live) == 0 {
		return noEndpoint(j)
	}
	if e.chooser != nil {
		return e.chooser.choose(j, live)
	}
	decision := e.askOwners(ctx, j, ownerOrder(j, live))
	if decision == nil || !j.mayUseVersion(decision.Version) {
		return decision
	}
	// The group is changing versions and most of its engines have another one.
	// Prefixes of that version have other owners.
	j.useVersion(decision.Version)
	return e.askOwners(ctx, j, ownerOrder(j, live))
}

// mayUseVersion reports whether the request may run under another version.
func (j *job) mayUseVersion(version string) bool {
	if !j.anyVersion || version == "" || version == j.version {
		return false
	}
	model := j.state.Models[j.model]
	return model != nil && slices.Contains(model.Versions, version) && j.organisation.Allows(j.model, version)
}

func noEndpoint(j *job) *protocol.Decision {
	return &protocol.Decision{Request: j.id, Refusal: &protocol.Refusal{
		Code:         protocol.CodeNoEndpoint,
		Message:      fmt.Sprintf("no live endpoint in group %q", j.group),
		Ran:          protocol.NotRun,
		RetryAfterMs: noEndpointRetryAfter.Milliseconds(),
	}}
}

// ownerOrder sorts endpoints by rendezvous hash of the prompt's first level.
// Endpoints that this request has already failed at come last.
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

// askOwners asks the first endpoint of order, and the next ones when it is slow,
// hangs or is gone. An Ask has no effect, so the first decision is used and the
// others are dropped. It returns nil if every owner refused for reasons of its own.
func (e *Entry) askOwners(ctx context.Context, j *job, order []member.Member) *protocol.Decision {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	q := e.newOwnerQuery(ctx, j, order[:min(maxOwners, len(order))])
	q.askNext(ctx)
	hedge := time.NewTicker(e.settings.Entry.HedgeAfter.D())
	defer hedge.Stop()
	for q.pending() {
		select {
		case r := <-q.replies:
			if q.handleReply(r) {
				return r.decision
			}
			q.askNext(ctx)
		case <-hedge.C:
			q.hedge(ctx)
		case <-ctx.Done():
			return fallbackDecision(j, order)
		}
	}
	if q.refusedByAll() {
		return nil
	}
	return fallbackDecision(j, order)
}

func (e *Entry) allowHedge(organisation string) bool {
	e.budgetMu.Lock()
	defer e.budgetMu.Unlock()
	return e.budget.Allow(attempt.ExtraHedge, organisation, e.now())
}

// fallbackDecision sends the request to the first endpoint of order.
func fallbackDecision(j *job, order []member.Member) *protocol.Decision {
	return &protocol.Decision{
		Request:  j.id,
		Executor: protocol.Target{Endpoint: order[0].ID, Address: order[0].Address},
		Reason:   reasonNoDecision,
	}
}
