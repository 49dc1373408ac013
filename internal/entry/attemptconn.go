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
	errEpochGone     = errors.New("executor restarted")
	errOverflow      = errors.New("executor sent more than its window")
	errWrongInstance = errors.New("address belongs to another instance now")
	errUnresponsive  = errors.New("executor process did not answer in time")
)

const (
	// idleCheckInterval is how often a stream is checked while no message comes.
	idleCheckInterval = 250 * time.Millisecond
	// After maxIdleChecks checks without a message the executor's process is asked
	// whether it is alive; it must answer within livenessTimeout.
	maxIdleChecks   = 4
	livenessTimeout = 500 * time.Millisecond
)

// attemptConn connects an attempt to its executor, over one session at a time.
type attemptConn struct {
	id      protocol.AttemptID
	session *wire.Session
	peer    protocol.Identity
	mailbox *mailbox
	// release ends the hold on the session. While a session is held, it detects a
	// peer whose connection is half-open.
	release func()
	// idleChecks counts the checks since the last message.
	idleChecks int
}

func (e *Entry) openAttempt(id protocol.AttemptID, session *wire.Session) *attemptConn {
	conn := &attemptConn{id: id, peer: session.Peer(), mailbox: e.demux.open(id), release: func() {}}
	conn.switchSession(session)
	e.inFlight.begin(conn.peer.ID)
	return conn
}

// switchSession continues the attempt over another session.
func (conn *attemptConn) switchSession(session *wire.Session) {
	conn.release()
	conn.session = session
	conn.release = session.MarkAwaited()
}

// checkLiveness is called after each idleCheckInterval without a message. A process
// that is suspended keeps its connections open, and its streams would stall for
// seconds until the session's pings fail; that time would count against the
// caller's first token. A process that is merely computing answers at once.
func (e *Entry) checkLiveness(conn *attemptConn) {
	conn.idleChecks++
	session := conn.session
	if conn.idleChecks < maxIdleChecks || time.Since(session.LastReceived()) < maxIdleChecks*idleCheckInterval {
		return // the process was active on another stream of the session
	}
	conn.idleChecks = 0
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
		defer cancel()
		if _, err := session.Call(ctx, &protocol.StatusRequest{}); err != nil {
			session.Close(errUnresponsive)
			e.directory.connectionFailed(session.Peer().ID) // so that other requests avoid it
		}
	})
}

func (e *Entry) closeAttempt(conn *attemptConn) {
	conn.release()
	e.demux.close(conn.id, conn.mailbox)
	e.inFlight.finish(conn.peer.ID)
}

// sessionTo opens a session to the target and verifies that the target still has
// that address.
func (e *Entry) sessionTo(ctx context.Context, target protocol.Target) (*wire.Session, error) {
	session, err := e.session(ctx, target.Address)
	if err != nil {
		return nil, err
	}
	if session.Peer().ID != target.Endpoint {
		return nil, fmt.Errorf("%w: %s is %s", errWrongInstance, target.Address, session.Peer().ID)
	}
	return session, nil
}

// sessionToEpoch opens a session to the target and verifies that it is still the
// same process; no other one knows its attempts.
func (e *Entry) sessionToEpoch(ctx context.Context, target protocol.Target) (*wire.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, executorTimeout)
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

// resolveAt asks an executor for the outcome of an attempt.
func (e *Entry) resolveAt(ctx context.Context, a attempt.Resolve) (*protocol.Resolved, protocol.Epoch, error) {
	session, err := e.sessionToEpoch(ctx, a.Target)
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, executorTimeout)
	defer cancel()
	answer, err := session.Call(ctx, &protocol.Resolve{Attempt: a.Attempt, Epoch: a.Target.Epoch})
	if err != nil {
		return nil, 0, fmt.Errorf("entry: resolve: %w", err)
	}
	resolved, ok := answer.(*protocol.Resolved)
	if !ok {
		return nil, 0, fmt.Errorf("entry: unexpected reply %T to Resolve", answer)
	}
	return resolved, session.Peer().Epoch, nil
}

// newResume returns the message that requests the attempt's chunks from the next
// expected one on. Chunks that are received but not yet delivered to the caller
// count against the new window.
func (j *job) newResume(id protocol.AttemptID, epoch protocol.Epoch) *protocol.Resume {
	return &protocol.Resume{
		Attempt:      id,
		Epoch:        epoch,
		Seq:          j.receiver.Next(),
		Window:       j.receiver.Resumed(),
		Organisation: j.organisation.ID,
	}
}

// newAttemptSource returns the generator of one request's attempt IDs. Its random
// seed makes them unique in the fleet.
func newAttemptSource() *mathrand.Rand {
	var seed [32]byte
	rand.Read(seed[:])
	return mathrand.New(mathrand.NewChaCha8(seed))
}
