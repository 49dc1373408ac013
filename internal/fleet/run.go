package fleet

import "time"

// RunCopy identifies a copy of a run's KV memory at a replica. The same request, sent to the
// replica at Address or to a source that stopped the run, goes on from the copy once.
type RunCopy struct {
	// Source is the address that the copy is registered under: that of the replica that the run
	// was moved from, or, for a backup, that of the replica that keeps it.
	Source string
	// Handle is the copy's name there; for a backup it is the request's ID.
	Handle string
}

// Move asks the replica that runs a request to copy the run's memory to another replica.
type Move struct {
	Source *Replica
	// RequestID is the request that the run belongs to.
	RequestID string
	// Target is the address of the other replica.
	Target string
	// Stop ends the run at the source first, and its stream without its end. Otherwise the run
	// goes on, and a later call copies only what is new.
	Stop bool
}

// MoveOutcome is a replica's answer to a Move.
type MoveOutcome uint8

const (
	// MoveUnknown: no answer; with Stop the run may have ended.
	MoveUnknown MoveOutcome = iota
	// MoveCopied: the copy is complete and usable.
	MoveCopied
	// MoveNoRun: the replica runs no such request.
	MoveNoRun
	// MoveInProgress: an earlier call for the run has not returned yet.
	MoveInProgress
	// MoveNoRoom: the target has no room or can't be reached. With Stop the run has ended, and
	// the source keeps its memory under the handle in the reply.
	MoveNoRoom
	// MoveMisdirected: another incarnation answered.
	MoveMisdirected
	// MoveNotSent: no connection was made, so the call has no effect.
	MoveNotSent
)

var moveOutcomeNames = [...]string{"unknown", "copied", "no_run", "in_progress", "no_room", "misdirected", "not_sent"}

// String returns the name of the outcome in logs.
func (o MoveOutcome) String() string { return moveOutcomeNames[o] }

// MoveReply is the answer to a Move.
type MoveReply struct {
	Outcome MoveOutcome
	// Copy is set with MoveCopied, and with MoveNoRoom if the source keeps the memory.
	Copy RunCopy
	// Events is how many events the run had made at the copy.
	Events int
}

// RunTransfer says what the engines of a service offer for runs that change replicas.
type RunTransfer struct {
	// Moves is set if a run can be copied to another replica on request, Backups if a replica can
	// keep another one's run up to date while it grows.
	Moves, Backups bool
	// CopyLifetime is how long a copy is kept after its last part, 0 if that isn't known.
	CopyLifetime time.Duration
	// TokenBytes is the size of one token of KV memory.
	TokenBytes int
}
