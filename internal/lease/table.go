package lease

import (
	"time"

	"skylarklead/internal/protocol"
)

// Grant is a valid claim as every reader sees it.
type Grant struct {
	// Fence is the claim's offset: it grows with each grant of any lease.
	Fence  uint64
	Holder string
	Epoch  protocol.Epoch
}

// entry is one lease as read from the log.
//
// Invariants: last is the offset of its last record, valid or not, 0 for none since the log
// came back from an older copy; grant is nil when it is free.
type entry struct {
	last     uint64
	seen     time.Duration
	duration time.Duration
	grant    *Grant
}

// Table is what the log says of all leases of a group. It is the same for every
// reader, but for records before the oldest one that a reader could still get.
type Table struct {
	position uint64
	entries  map[Name]*entry
}

// NewTable returns the table before the first record.
func NewTable() *Table { return &Table{entries: map[Name]*entry{}} }

// Position is the offset of the last record taken.
func (t *Table) Position() uint64 { return t.position }

// SkipTo moves on to oldest, where the log no longer has what comes next.
func (t *Table) SkipTo(oldest uint64) { t.position = max(t.position, oldest-1) }

// LogRestored says that the log came back from an older copy and is read anew from oldest on. All
// readers do, so that they agree again. Holders may not know yet: whoever was known to hold a
// lease keeps others from it for the whole duration.
func (t *Table) LogRestored(oldest uint64, now time.Duration) {
	t.position = max(t.position, oldest-1)
	for _, e := range t.entries {
		e.last, e.seen = 0, now
	}
}

// Apply takes the next record and returns the lease it concerns, "" if none.
func (t *Table) Apply(offset uint64, data []byte, now time.Duration) (*Record, bool) {
	if offset <= t.position {
		return nil, false
	}
	t.position = offset
	r, err := Decode(data)
	if err != nil {
		return nil, false
	}
	e, known := t.entries[r.Name]
	if !known {
		e = &entry{}
		t.entries[r.Name] = e
	}
	known = known && e.last != 0
	valid := e.apply(r, offset, known)
	e.last, e.seen = offset, now
	return r, valid
}

func (e *entry) apply(r *Record, offset uint64, known bool) bool {
	switch r.Kind {
	case KindClaim:
		if !e.supersededBy(r, known) {
			return false
		}
		e.grant = &Grant{Fence: offset, Holder: r.Holder, Epoch: r.Epoch}
		e.duration = r.duration()
	case KindRenew:
		if known && !e.heldBy(r) {
			return false
		}
		// A renewal whose claim was taken by retention: hold its word good, which
		// only makes this reader wait for its end.
		e.grant = &Grant{Fence: r.Fence, Holder: r.Holder, Epoch: r.Epoch}
		e.duration = r.duration()
	case KindRelease:
		if known && !e.heldBy(r) {
			return false
		}
		e.grant = nil
	}
	return true
}

// supersededBy is the rule: of several claims on the same last record the first
// is valid and thereby becomes the last record itself. Where the last record is
// gone from the log for some readers, the claim says so by Oldest.
func (e *entry) supersededBy(r *Record, known bool) bool {
	if !known || r.Supersedes == e.last {
		return true
	}
	return r.Supersedes == 0 && e.last < r.Oldest
}

func (e *entry) heldBy(r *Record) bool {
	return e.grant != nil && e.grant.Fence == r.Fence && e.grant.Holder == r.Holder && e.grant.Epoch == r.Epoch
}

func (r *Record) duration() time.Duration { return time.Duration(r.DurationMs) * time.Millisecond }

// Holder returns who was last granted a lease and has not released it.
func (t *Table) Holder(n Name) (Grant, bool) {
	e, ok := t.entries[n]
	if !ok || e.grant == nil {
		return Grant{}, false
	}
	return *e.grant, true
}

// loadsBefore reports whether a process has a permit that was granted before fence.
func (t *Table) loadsBefore(holder string, fence uint64) bool {
	for name, e := range t.entries {
		if isPermit(name) && e.grant != nil && e.grant.Holder == holder && e.grant.Fence < fence {
			return true
		}
	}
	return false
}

// ClaimableAt returns from when on a lease may be claimed: at once if it is free,
// else when its last record has stood for the whole duration and the margin.
func (t *Table) ClaimableAt(n Name, margin time.Duration) time.Duration {
	e, ok := t.entries[n]
	if !ok || e.grant == nil {
		return 0
	}
	return e.seen + e.duration + margin
}

// LastOffset is the offset of a lease's last record, 0 if none was read.
func (t *Table) LastOffset(n Name) uint64 {
	if e, ok := t.entries[n]; ok {
		return e.last
	}
	return 0
}
