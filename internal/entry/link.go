package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
)

var (
	errEpochGone = errors.New("executor restarted")
	errOverflow  = errors.New("executor sent more than its window")
	errMoved     = errors.New("address belongs to another instance now")
	errSilent    = errors.New("executor gives no sign of life")
)

const (
	// gapCheck is how often a quiet stream is looked at.
	gapCheck = 250 * time.Millisecond
	// quietChecks is how many looks in a row find nothing new before the executor
	// is asked for a sign of life, within signTimeout.
	quietChecks = 4
	signTimeout = 500 * time.Millisecond
)

// link is an attempt's way to its executor.
type link struct {
	id      protocol.AttemptID
	session *wire.Session
	peer    protocol.Identity
	mailbox *mailbox
	// release ends the hold on the session, which makes it notice a peer that is
	// half-open.
	release func()
	// quiet counts the looks since something came.
	quiet int
}

func (e *Entry) openLink(id protocol.AttemptID, session *wire.Session) *link {
	l := &link{id: id, peer: session.Peer(), mailbox: e.hub.open(id), release: func() {}}
	l.move(session)
	e.inFlight.begin(l.peer.ID)
	return l
}

// move goes on over another session.
func (l *link) move(session *wire.Session) {
	l.release()
	l.session = session
	l.release = session.MarkAwaited()
}

// look is called each gapCheck in which nothing came. A process that is stopped
// keeps its connections open: its streams would stall until the session's pings
// find out, seconds that count against the caller's first token. One that merely
// computes answers the question at once.
func (e *Entry) look(l *link) {
	l.quiet++
	session := l.session
	if l.quiet < quietChecks || time.Since(session.LastReceived()) < quietChecks*gapCheck {
		return // it may be that another of its streams heard from it
	}
	l.quiet = 0
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), signTimeout)
		defer cancel()
		if _, err := session.Call(ctx, &protocol.StatusRequest{}); err != nil {
			session.Close(errSilent)
			e.directory.failed(session.Peer().ID) // others needn't find out for themselves
		}
	})
}

func (e *Entry) closeLink(l *link) {
	l.release()
	e.hub.close(l.id, l.mailbox)
	e.inFlight.finish(l.peer.ID)
}

// sessionTo opens a session to a target and checks that the address is still its.
func (e *Entry) sessionTo(ctx context.Context, target protocol.Target) (*wire.Session, error) {
	session, err := e.session(ctx, target.Address)
	if err != nil {
		return nil, err
	}
	if session.Peer().ID != target.Endpoint {
		return nil, fmt.Errorf("%w: %s is %s", errMoved, target.Address, session.Peer().ID)
	}
	return session, nil
}

// sameEpoch opens a session to the very process that a target names; no other
// one can know its attempts.
func (e *Entry) sameEpoch(ctx context.Context, target protocol.Target) (*wire.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	session, err := e.sessionTo(ctx, target)
	if err != nil {
		return nil, err
	}
	if session.Peer().Epoch != target.Epoch {
		return nil, errEpochGone
	}
	return session, nil
}

// resolveAt asks an executor what became of an attempt.
func (e *Entry) resolveAt(ctx context.Context, a attempt.Resolve) (*protocol.Resolved, protocol.Epoch, error) {
	session, err := e.sameEpoch(ctx, a.Target)
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	answer, err := session.Call(ctx, &protocol.Resolve{Attempt: a.Attempt, Epoch: a.Target.Epoch})
	if err != nil {
		return nil, 0, fmt.Errorf("entry: resolve: %w", err)
	}
	resolved, ok := answer.(*protocol.Resolved)
	if !ok {
		return nil, 0, fmt.Errorf("entry: %T in answer to Resolve", answer)
	}
	return resolved, session.Peer().Epoch, nil
}

// resume makes the message that asks for the attempt's chunks again from the next
// one on. What the caller has not taken yet counts against the new window.
func (j *job) resume(id protocol.AttemptID, epoch protocol.Epoch) *protocol.Resume {
	return &protocol.Resume{
		Attempt:      id,
		Epoch:        epoch,
		Seq:          j.receiver.Next(),
		Window:       j.receiver.Resumed(),
		Organisation: j.organisation.ID,
	}
}

// newAttemptSource returns the generator of one request's attempt IDs, seeded so
// that no other request in the fleet has the same ones.
func newAttemptSource() *mathrand.Rand {
	var seed [32]byte
	rand.Read(seed[:])
	return mathrand.New(mathrand.NewChaCha8(seed))
}
