package divide

import (
	"math"
	"slices"
	"time"
)

// never is a time that no steady clock reaches.
const never = time.Duration(math.MaxInt64)

// Entries is one entry's knowledge of the list of entries.
//
// Entries with different lists divide a limit into shares that may sum to more than the whole.
// So an entry has no share until it has been listed for as long as others may take to read
// that, and a smaller share while its list is older than allowed.
type Entries struct {
	// Self is the name of this entry.
	Self string
	// Names has all listed entries, sorted.
	Names []string
	// ActiveAt is when the entry's shares begin, StaleAt when the list becomes too old.
	ActiveAt, StaleAt time.Duration
}

// NewEntries returns the state of an entry that hasn't read the list: it has no share.
func NewEntries(self string) Entries { return Entries{Self: self, ActiveAt: never} }

// SetNames sets the names of all listed entries.
func (e *Entries) SetNames(names []string) { e.Names = slices.Sorted(slices.Values(names)) }

// Joined records that the list contains this entry, and reports whether that is new. known says
// that it did when this process first read the list: then all others account for the entry
// already. Otherwise its shares begin after within, the time that others may take to read the list.
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

// ListConfirmed records as of when the list is known, which may be as old as within. It reports
// whether that is later than what was known.
func (e *Entries) ListConfirmed(asOf, within time.Duration) bool {
	staleAt := asOf + within
	if staleAt <= e.StaleAt {
		return false
	}
	e.StaleAt = staleAt
	return true
}
