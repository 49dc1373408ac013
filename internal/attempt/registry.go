package attempt

import (
	"time"

	"skylarklead/internal/protocol"
)

// Arrival says what an executor has to do with a Run.
type Arrival uint8

// Values of Arrival.
const (
	// ArrivalNew: run it.
	ArrivalNew Arrival = iota
	// ArrivalDuplicate: it was received before; drop the message.
	ArrivalDuplicate
	// ArrivalFenced: its sender was told that it has not run; drop the message.
	ArrivalFenced
)

type attemptState uint8

const (
	attemptRunning attemptState = iota
	attemptFenced
	attemptEnded
)

type registered struct {
	state   attemptState
	outcome protocol.Outcome
}

type expiry struct {
	at      time.Duration
	attempt protocol.AttemptID
}

// Registry remembers the attempts that an executor has seen, so that a Run that
// arrives late or twice is not run again, and Resolve is answered correctly.
//
// Invariant: an attempt that was reported as not_run is never accepted as new while it
// is remembered.
type Registry struct {
	retention time.Duration
	attempts  map[protocol.AttemptID]registered
	expiries  []expiry
}

// NewRegistry returns a registry that remembers ended and fenced attempts for the
// given time, which must exceed the longest time that a message can be in transit.
func NewRegistry(retention time.Duration) *Registry {
	return &Registry{retention: retention, attempts: map[protocol.AttemptID]registered{}}
}

// Arrive registers a Run.
func (r *Registry) Arrive(a protocol.AttemptID, now time.Duration) Arrival {
	r.expire(now)
	if known, ok := r.attempts[a]; ok {
		if known.state == attemptFenced {
			return ArrivalFenced
		}
		return ArrivalDuplicate
	}
	r.attempts[a] = registered{state: attemptRunning, outcome: protocol.Unknown}
	return ArrivalNew
}

// End records an attempt's outcome.
func (r *Registry) End(a protocol.AttemptID, outcome protocol.Outcome, now time.Duration) {
	r.store(a, registered{state: attemptEnded, outcome: outcome}, now)
}

// Resolve returns the outcome of an attempt. An attempt that was never seen is fenced.
func (r *Registry) Resolve(a protocol.AttemptID, now time.Duration) *protocol.Resolved {
	r.expire(now)
	known, ok := r.attempts[a]
	switch {
	case !ok:
		r.store(a, registered{state: attemptFenced, outcome: protocol.NotRun}, now)
		return &protocol.Resolved{Attempt: a, Outcome: protocol.NotRun}
	case known.state == attemptRunning:
		return &protocol.Resolved{Attempt: a, Outcome: protocol.Unknown, Running: true}
	default:
		return &protocol.Resolved{Attempt: a, Outcome: known.outcome}
	}
}

// Len is the number of attempts remembered.
func (r *Registry) Len() int { return len(r.attempts) }

func (r *Registry) store(a protocol.AttemptID, state registered, now time.Duration) {
	r.attempts[a] = state
	r.expiries = append(r.expiries, expiry{at: now + r.retention, attempt: a})
}

func (r *Registry) expire(now time.Duration) {
	n := 0
	for n < len(r.expiries) && r.expiries[n].at <= now {
		delete(r.attempts, r.expiries[n].attempt)
		n++
	}
	r.expiries = r.expiries[n:]
}
