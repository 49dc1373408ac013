package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"skylarklead/internal/follow"
	"skylarklead/internal/member"
	"skylarklead/internal/protocol"
)

// ownerQuery asks a request's owners for a decision, in order. It is owned by one
// goroutine.
type ownerQuery struct {
	e       *Entry
	ask     *protocol.Ask
	owners  []member.Member
	replies chan ownerReply
	// asked counts the owners asked, inconclusive those whose reply decided
	// nothing, and failed those of the latter that did not reply.
	asked, inconclusive, failed int
}

// ownerReply is the result of asking one owner.
type ownerReply struct {
	from     member.Member
	decision *protocol.Decision
	err      error
}

func (e *Entry) newOwnerQuery(ctx context.Context, j *job, owners []member.Member) *ownerQuery {
	ask := j.newAsk(e.settings.FailureDomain)
	// The candidates are only logged here at debug level; `skylarkctl explain`
	// reads them from the owner as well.
	ask.Explain = e.tel.Log.Enabled(ctx, slog.LevelDebug)
	ask.Exclude = append(e.directory.unavailable(j.group), ask.Exclude...)
	return &ownerQuery{e: e, ask: ask, owners: owners, replies: make(chan ownerReply, len(owners))}
}

// pending reports whether another reply may still decide.
func (q *ownerQuery) pending() bool { return q.inconclusive < len(q.owners) }

func (q *ownerQuery) refusedByAll() bool { return !q.pending() && q.failed == 0 }

func (q *ownerQuery) askNext(ctx context.Context) {
	if q.asked == len(q.owners) {
		return
	}
	go q.e.queryOwner(ctx, q.owners[q.asked], q.ask, q.replies)
	q.asked++
}

// hedge asks one more owner in addition to those that are slow, if the budget
// allows it.
func (q *ownerQuery) hedge(ctx context.Context) {
	if q.asked < len(q.owners) && q.e.allowHedge(q.ask.Organisation) {
		q.e.tel.Metrics.Hedges.Inc(1)
		q.askNext(ctx)
	}
}

// handleReply reports whether the reply decides the query.
func (q *ownerQuery) handleReply(r ownerReply) bool {
	if q.e.acceptReply(r) {
		return true
	}
	q.inconclusive++
	if r.err != nil {
		q.failed++
	}
	return false
}

func (e *Entry) queryOwner(ctx context.Context, to member.Member, ask *protocol.Ask, replies chan<- ownerReply) {
	decision, err := e.sendAsk(ctx, to, ask)
	if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		e.directory.connectionFailed(to.ID)
		e.tel.Log.Warn("owner did not answer", "request", ask.Request, "owner", to.ID, "error", err)
	}
	replies <- ownerReply{from: to, decision: decision, err: err}
}

func (e *Entry) sendAsk(ctx context.Context, to member.Member, ask *protocol.Ask) (*protocol.Decision, error) {
	session, err := e.session(ctx, to.Address)
	if err != nil {
		return nil, err
	}
	answer, err := session.Call(ctx, ask)
	if err != nil {
		return nil, err
	}
	switch m := answer.(type) {
	case *protocol.Decision:
		e.config.PeerHasOffset(m.ConfigOffset, follow.SessionFetch(session))
		return m, nil
	case *protocol.Failure:
		return &protocol.Decision{Request: ask.Request, Refusal: &m.Refusal}, nil
	}
	return nil, fmt.Errorf("entry: unexpected reply %T to Ask", answer)
}

// acceptReply reports whether a reply decides where the request runs, or that it
// doesn't run. A refusal that holds for its sender only, such as that it is
// leaving, decides nothing.
func (e *Entry) acceptReply(r ownerReply) bool {
	if r.err != nil {
		return false
	}
	d := r.decision
	if d.Refusal != nil {
		if d.Refusal.Code == protocol.CodeDraining {
			e.directory.leavingAnnounced(r.from.ID, r.from.Epoch)
		}
		return !isLocalRefusal(d.Refusal.Code)
	}
	e.directory.unavailableReported(d.Unavailable)
	if d.Executor.Address == "" {
		known, ok := e.directory.lookup(d.Executor.Endpoint)
		d.Executor.Address = known.Address
		return ok
	}
	return true
}

// isLocalRefusal reports whether a refusal holds for its sender only, not for other
// owners.
func isLocalRefusal(code protocol.Code) bool {
	switch code {
	case protocol.CodeDraining, protocol.CodeNotRun, protocol.CodeInternal, protocol.CodeBadRequest:
		return true
	}
	return false
}
