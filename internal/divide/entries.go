package divide

import (
	"math"
	"slices"
	"time"
)

// never is a time that no steady clock reaches.
const never = time.Duration(math.MaxInt64)

// Entries is what one entry knows of the list of entries.
//
// Two lists that differ divide a limit into parts that sum to more than the whole. So an entry has
// no part until it has been listed for as long as others may take to read that, and a smaller one
// while what it knows is older than it may be.
type Entries struct {
	// Self is the name of the entry itself.
	Self string
	// Names are of all entries listed, in order.
	Names []string
	// ActiveAt is from when on the entry has its parts, StaleAt from when on the list is too old.
	ActiveAt, StaleAt time.Duration
}

// NewEntries returns what an entry knows before it has read the list: it has no part.
func NewEntries(self string) Entries { return Entries{Self: self, ActiveAt: never} }

// SetNames takes the names of all entries listed.
func (e *Entries) SetNames(names []string) { e.Names = slices.Sorted(slices.Values(names)) }

// Joined says that the list has this entry, and reports whether that is news. known says that it had
// when this process read the list first: all others count it then. Otherwise it has its parts once
// within is over, the time that others may take to read the list.
func (e *Entries) Joined(known bool, within, now time.Duration) bool {
	if e.ActiveAt != never {
		return false
	}
	e.ActiveAt = now
	if !known {
		e.ActiveAt += within
	}
	return true
}

// ListConfirmed says as of when the list is known, which may be as old as within. It reports whether
// that is later than what was known.
func (e *Entries) ListConfirmed(asOf, within time.Duration) bool {
	staleAt := asOf + within
	if staleAt <= e.StaleAt {
		return false
	}
	e.StaleAt = staleAt
	return true
}
