package spread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"skylarklead/internal/fleet"
)

const (
	// maxTailRecords and maxTailBytes bound a topic's latest records that are kept: some
	// seconds of a busy topic, and one large record of the operator. A peer that is further
	// behind takes the whole state.
	maxTailRecords = 1024
	maxTailBytes   = 1 << 20
)

// Tail keeps a topic's latest records, to be forwarded unchanged, and for a topic with keys
// the newest record of each.
//
// Invariant: records are those from offset first on, without a gap.
type Tail struct {
	keyed   bool
	first   uint64
	records []fleet.Record
	// appendedAt has the time at which each of records was appended.
	appendedAt []time.Duration
	bytes      int
	// dropped is set once appended records were dropped.
	dropped bool
	newest  map[string]fleet.Record
	// preRestore holds the newest records of keys from before the store was restored from
	// an older copy, until the key is written again or beforeRestoreTTL has passed.
	preRestore map[string]fleet.Record
	restoredAt time.Duration
}

// NewTail returns an empty tail of a topic with or without keys.
func NewTail(keyed bool) *Tail {
	return &Tail{keyed: keyed, newest: make(map[string]fleet.Record), preRestore: make(map[string]fleet.Record)}
}

// StoreRestored records that what follows is from a store that was restored from an older
// copy. The records known until now are still forwarded, since the copy may lack them.
func (t *Tail) StoreRestored(now time.Duration) {
	maps.Copy(t.preRestore, t.newest)
	t.restoredAt = now
}

// preRestoreTTL is how long a key may take to be written again: a replica that hasn't done so is gone.
const preRestoreTTL = 10 * time.Second

// Reset starts again at an offset, with the newest record of each key before it.
func (t *Tail) Reset(newest []fleet.Record, next uint64) {
	t.first, t.records, t.appendedAt, t.bytes, t.dropped = next, nil, nil, 0, false
	clear(t.newest)
	for _, r := range newest {
		t.newest[r.Key] = r
	}
}

// Append appends the next record.
func (t *Tail) Append(r fleet.Record, now time.Duration) {
	delete(t.preRestore, r.Key)
	if t.keyed && r.Value == nil {
		delete(t.newest, r.Key)
	} else if t.keyed {
		t.newest[r.Key] = r
	}
	t.records, t.appendedAt = append(t.records, r), append(t.appendedAt, now)
	t.bytes += size(r)
	drop := 0
	for len(t.records)-drop > maxTailRecords || t.bytes > maxTailBytes && len(t.records)-drop > 1 {
		t.bytes -= size(t.records[drop])
		drop++
	}
	t.first += uint64(drop)
	t.records, t.appendedAt = slices.Delete(t.records, 0, drop), slices.Delete(t.appendedAt, 0, drop)
	t.dropped = t.dropped || drop > 0
}

// Since returns all records that are kept and the offset of the first. It reports false if
// records were dropped that had been appended less than the given time ago.
func (t *Tail) Since(ago, now time.Duration) (first uint64, records []fleet.Record, ok bool) {
	if t.dropped && (len(t.appendedAt) == 0 || now-t.appendedAt[0] < ago) {
		return 0, nil, false
	}
	return t.first, t.records, true
}

// From returns the records from an offset on; false if some of them aren't kept.
func (t *Tail) From(next uint64) ([]fleet.Record, bool) {
	if next < t.first || next > t.first+uint64(len(t.records)) {
		return nil, false
	}
	return t.records[next-t.first:], true
}

// Newest returns the newest record of each key, by offset. Those from before the store was
// restored come first.
func (t *Tail) Newest(now time.Duration) []fleet.Record {
	list := slices.Collect(maps.Values(t.newest))
	if now-t.restoredAt > preRestoreTTL {
		clear(t.preRestore)
	}
	list = slices.AppendSeq(list, maps.Values(t.preRestore))
	slices.SortFunc(list, func(a, b fleet.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return list
}

func size(r fleet.Record) int { return len(r.Key) + len(r.Value) }
