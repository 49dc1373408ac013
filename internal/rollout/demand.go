package rollout

import "time"

// VersionHistory is which versions of a model's weights the operator has named, and when.
// From a given time after a version was named no request may begin on an older one.
//
// Invariant: named is in ascending order of version and time.
type VersionHistory struct {
	within time.Duration
	named  []naming
}

type naming struct {
	version uint64
	at      time.Duration
	// late is set where it was read some time after it can have been named, earliest is
	// when that was.
	late     bool
	earliest time.Duration
}

// NewVersionHistory returns the demand for versions that must be in use within a time.
func NewVersionHistory(within time.Duration) *VersionHistory { return &VersionHistory{within: within} }

// Add takes a version that was named at a time and reports whether it is newer
// than all before.
func (d *VersionHistory) Add(version uint64, at time.Duration) bool {
	if version <= d.Newest() {
		return false
	}
	d.named = append(d.named, naming{version: version, at: at})
	return true
}

// MarkReadLate says that a version may have been named before it was read, at the earliest at
// a time: the reader was cut off from the operator's records until then.
func (d *VersionHistory) MarkReadLate(version uint64, earliest time.Duration) {
	for i := range d.named {
		if n := &d.named[i]; n.version == version {
			n.late, n.earliest = true, min(n.at, earliest)
		}
	}
}

// AnnouncedNoLater takes word that a version was named at a time or before. It counts for one that
// was read late.
//
// Symptom without it: an entry that was cut off begins requests on weights that were
// replaced longer ago than allowed, while its peers don't. The time allowed runs from the naming,
// which the peers have read, and not from the reading at this entry.
func (d *VersionHistory) AnnouncedNoLater(version uint64, at time.Duration) {
	for i := range d.named {
		if n := &d.named[i]; n.version == version && n.late {
			n.at = min(n.at, max(at, n.earliest))
		}
	}
}

// AddPrevious takes word which version one was named after, and until when that may be used
// at the latest by what is known: replicas may be on versions before both.
func (d *VersionHistory) AddPrevious(version, before uint64, at time.Duration) {
	if before == 0 || before >= version || len(d.named) == 0 || d.named[0].version != version {
		return
	}
	at = min(at, d.named[0].at)
	d.named = append([]naming{{version: before, at: at}}, d.named...)
}

// AnnouncedNoEarlier takes word that a version was named at a time and no earlier. It counts
// where that is later than what was assumed, and at most until the next one was named:
// of the latest version it is told first.
func (d *VersionHistory) AnnouncedNoEarlier(version uint64, at time.Duration) {
	for i := range d.named {
		if d.named[i].version != version {
			continue
		}
		if i+1 < len(d.named) {
			at = min(at, d.named[i+1].at)
		}
		d.named[i].at = max(d.named[i].at, at)
	}
}

// Newest is the version wanted, 0 if none was named.
func (d *VersionHistory) Newest() uint64 {
	if len(d.named) == 0 {
		return 0
	}
	return d.named[len(d.named)-1].version
}

// OldestAllowed is the oldest version that a request may begin on now. Those that are
// overdue have been named, and not superseded by one that is overdue too.
func (d *VersionHistory) OldestAllowed(now time.Duration) uint64 {
	overdue := -1
	for i := range d.named {
		if now >= d.named[i].at+d.within {
			overdue = i
		}
	}
	if overdue < 0 {
		return 0
	}
	d.named = d.named[overdue:]
	return d.named[0].version
}
