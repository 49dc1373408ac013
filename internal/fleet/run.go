package fleet

import "time"

// RunCopy identifies a copy of a run's KV memory at a replica. The same request, sent there, goes on
// from the copy once.
type RunCopy struct {
	// Source is the address of the replica that keeps the copy.
	Source string
	// Handle is the copy's name there: the request's ID.
	Handle string
}

// RunTransfer says what the engines of a service offer for runs that change replicas.
type RunTransfer struct {
	// Backups is set if a replica can keep a copy of another one's run while it grows.
	Backups bool
	// CopyInterval is the longest pause between two parts of a copy while its run goes on.
	CopyInterval time.Duration
	// CopyLifetime is how long a copy is kept after its last part, 0 if that isn't known.
	CopyLifetime time.Duration
}
