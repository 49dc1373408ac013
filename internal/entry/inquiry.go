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

// inquiry is one question to a request's owners, in order. One goroutine owns it.
type inquiry struct {
	e        *Entry
	question *protocol.Ask
	owners   []member.Member
	replies  chan reply
	// asked counts the owners that were asked, answered and failed those of them
	// whose reply settled nothing, and of these the ones that gave none.
	asked, answered, failed int
}

// reply is one owner's answer to an Ask.
type reply struct {
	from     member.Member
	decision *protocol.Decision
	err      error
}

func (e *Entry) newInquiry(ctx context.Context, j *job, owners []member.Member) *inquiry {
	question := j.ask(e.settings.FailureDomain)
	// Only a debug line shows them here; `skylarkctl explain` asks the owner too.
	question.Explain = e.tel.Log.Enabled(ctx, slog.LevelDebug)
	question.Exclude = append(e.directory.shunned(j.group), question.Exclude...)
	return &inquiry{e: e, question: question, owners: owners, replies: make(chan reply, len(owners))}
}

// open reports whether a reply may still settle the question.
func (q *inquiry) open() bool { return q.answered < len(q.owners) }

func (q *inquiry) refusedByAll() bool { return !q.open() && q.failed == 0 }

func (q *inquiry) askNext(ctx context.Context) {
	if q.asked == len(q.owners) {
		return
	}
	go q.e.askOne(ctx, q.owners[q.asked], q.question, q.replies)
	q.asked++
}

// hedge asks one more owner beside those that are slow, if the budget allows it.
func (q *inquiry) hedge(ctx context.Context) {
	if q.asked < len(q.owners) && q.e.mayHedge(q.question.Organisation) {
		q.e.tel.Metrics.Hedges.Inc(1)
		q.askNext(ctx)
	}
}

// take reports whether a reply settles the question.
func (q *inquiry) take(r reply) bool {
	if q.e.settles(r) {
		return true
	}
	q.answered++
	if r.err != nil {
		q.failed++
	}
	return false
}

func (e *Entry) askOne(ctx context.Context, to member.Member, question *protocol.Ask, replies chan<- reply) {
	decision, err := e.askAt(ctx, to, question)
	if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		e.directory.failed(to.ID)
		e.tel.Log.Warn("owner didn't answer", "request", question.Request, "owner", to.ID, "error", err)
	}
	replies <- reply{from: to, decision: decision, err: err}
}

func (e *Entry) askAt(ctx context.Context, to member.Member, question *protocol.Ask) (*protocol.Decision, error) {
	session, err := e.session(ctx, to.Address)
	if err != nil {
		return nil, err
	}
	answer, err := session.Call(ctx, question)
	if err != nil {
		return nil, err
	}
	switch m := answer.(type) {
	case *protocol.Decision:
		e.config.PeerHasOffset(m.ConfigOffset, follow.SessionFetch(session))
		return m, nil
	case *protocol.Failure:
		return &protocol.Decision{Request: question.Request, Refusal: &m.Refusal}, nil
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
		if d.Refusal.Code == protocol.CodeDraining {
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
func ownRefusal(code protocol.Code) bool {
	switch code {
	case protocol.CodeDraining, protocol.CodeNotRun, protocol.CodeInternal, protocol.CodeBadRequest:
		return true
	}
	return false
}
