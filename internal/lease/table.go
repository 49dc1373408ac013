package lease

import (
	"time"

	"skylarklead/internal/protocol"
)

// Grant is the valid claim that a lease is held by. All readers agree on it.
type Grant struct {
	// Fence is the claim's offset, the fencing number. It grows with each grant of any
	// lease.
	Fence  uint64
	Holder string
	Epoch  protocol.Epoch
}

// tableEntry is one lease as read from the log.
//
// Invariants: lastOffset is the offset of its last record, valid or not, 0 if there is none
// since the log was restored from an older copy; grant is nil while the lease is free.
type tableEntry struct {
	lastOffset uint64
	lastSeen   time.Duration
	duration   time.Duration
	grant      *Grant
}

// Table is the state of all leases of a group as read from the log. It is the same at
// all readers, except for records that retention removed before a reader could get them.
type Table struct {
	position uint64
	entries  map[Name]*tableEntry
}

// NewTable returns the table of a reader before the first record.
func NewTable() *Table { return &Table{entries: map[Name]*tableEntry{}} }

// Position is the offset of the last record applied.
func (t *Table) Position() uint64 { return t.position }

// SkipTo continues at oldest because the log no longer has the records before.
func (t *Table) SkipTo(oldest uint64) { t.position = max(t.position, oldest-1) }

// LogRestored handles a log that was restored from an older copy and is read again from oldest
// on. All readers do so and then agree again. A holder may not know of it yet, so each known
// grant blocks claims by others for its whole duration from now.
func (t *Table) LogRestored(oldest uint64, now time.Duration) {
	t.position = max(t.position, oldest-1)
	for _, e := range t.entries {
		e.lastOffset, e.lastSeen = 0, now
	}
}

// Apply applies the next record. It returns the record, nil if it is malformed or was
// applied before, and whether it is valid.
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
		e = &tableEntry{}
		t.entries[r.Name] = e
	}
	known = known && e.lastOffset != 0
	valid := e.apply(r, offset, known)
	e.lastOffset, e.lastSeen = offset, now
	return r, valid
}

func (e *tableEntry) apply(r *Record, offset uint64, known bool) bool {
	switch r.Kind {
	case KindClaim:
		if !e.acceptsClaim(r, known) {
			return false
		}
		e.grant = &Grant{Fence: offset, Holder: r.Holder, Epoch: r.Epoch}
		e.duration = r.duration()
	case KindRenew:
		if known && !e.isHeldBy(r) {
			return false
		}
		// If retention removed the claim of this renewal, the renewal is trusted: the
		// only effect is that this reader waits for its expiry.
		e.grant = &Grant{Fence: r.Fence, Holder: r.Holder, Epoch: r.Epoch}
		e.duration = r.duration()
	case KindRelease:
		if known && !e.isHeldBy(r) {
			return false
		}
		e.grant = nil
	}
	return true
}

// acceptsClaim decides whether a claim is valid. Of several claims that supersede the same
// last record the first is valid and thereby becomes the last record itself. A claim whose
// sender could not read the last record, because retention removed it, says so by Oldest.
func (e *tableEntry) acceptsClaim(r *Record, known bool) bool {
	if !known || r.Supersedes == e.lastOffset {
		return true
	}
	return r.Supersedes == 0 && e.lastOffset < r.Oldest
}

func (e *tableEntry) isHeldBy(r *Record) bool {
	return e.grant != nil && e.grant.Fence == r.Fence && e.grant.Holder == r.Holder && e.grant.Epoch == r.Epoch
}

func (r *Record) duration() time.Duration { return time.Duration(r.DurationMs) * time.Millisecond }

// Holder returns the last grant of a lease, if it was not released. It may have expired.
func (t *Table) Holder(n Name) (Grant, bool) {
	e, ok := t.entries[n]
	if !ok || e.grant == nil {
		return Grant{}, false
	}
	return *e.grant, true
}

// holdsEarlierPermit reports whether a process has a permit that was granted before fence.
func (t *Table) holdsEarlierPermit(holder string, fence uint64) bool {
	for name, e := range t.entries {
		if isPermit(name) && e.grant != nil && e.grant.Holder == holder && e.grant.Fence < fence {
			return true
		}
	}
	return false
}

// ClaimableAt returns the time from which a lease may be claimed: 0 if it is free, else
// when the duration plus margin has passed since its last record was read.
func (t *Table) ClaimableAt(n Name, margin time.Duration) time.Duration {
	e, ok := t.entries[n]
	if !ok || e.grant == nil {
		return 0
	}
	return e.lastSeen + e.duration + margin
}

// LastOffset is the offset of a lease's last record, 0 if none was read.
func (t *Table) LastOffset(n Name) uint64 {
	if e, ok := t.entries[n]; ok {
		return e.lastOffset
	}
	return 0
}
