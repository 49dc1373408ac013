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
// Invariants: lastOffset is the offset of its last record, valid or not, 0 if none was read
// since records were missed; grant is nil while the lease is free.
type tableEntry struct {
	lastOffset uint64
	lastSeen   time.Duration
	duration   time.Duration
	grant      *Grant
	// certain is set if all readers agree on the grant: what it depends on was read.
	certain bool
}

// Table is the state of all leases of a group as read from the log. It is the same at
// all readers, except for records that retention removed before a reader could get them.
type Table struct {
	position uint64
	entries  map[Name]*tableEntry
	// assumed is the duration of a grant whose records couldn't be read.
	assumed time.Duration
	// complete is set while no record of the log was missed.
	complete bool
}

// NewTable returns the table of a reader before the first record.
func NewTable() *Table { return newTable(DefaultParams.Duration) }

func newTable(assumed time.Duration) *Table {
	return &Table{entries: map[Name]*tableEntry{}, assumed: assumed, complete: true}
}

// Position is the offset of the last record applied.
func (t *Table) Position() uint64 { return t.position }

// SkipTo begins at oldest because the log no longer has the records before.
func (t *Table) SkipTo(oldest uint64) {
	if oldest > t.position+1 {
		t.position, t.complete = oldest-1, false
	}
}

// LogRestored handles a log that was restored from an older copy and is read again from oldest on, its
// first record. All readers do so and then agree again.
func (t *Table) LogRestored(oldest uint64, now time.Duration) {
	t.SkipGap(oldest, now)
	t.complete = true
}

// SkipGap continues at oldest: the records before it can't be read. What they said of a lease is unknown
// until its next record, so each known grant blocks claims by others for its whole duration from now.
func (t *Table) SkipGap(oldest uint64, now time.Duration) {
	t.SkipTo(oldest)
	for _, e := range t.entries {
		e.lastOffset, e.lastSeen, e.certain = 0, now, false
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
		e = &tableEntry{duration: t.assumed}
		t.entries[r.Name] = e
	}
	known = known && e.lastOffset != 0
	valid := e.apply(r, offset, known)
	if valid && r.Kind == KindClaim {
		e.certain = known || t.complete
	}
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
		if !known {
			// It may have been appended late, after another process's claim: that is seen from its renewals.
			e.grant = &Grant{Fence: r.Fence, Holder: r.Holder, Epoch: r.Epoch}
		}
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

// certain reports whether all readers agree on the last grant of a lease.
func (t *Table) certain(n Name) bool {
	e, ok := t.entries[n]
	return ok && e.certain
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
