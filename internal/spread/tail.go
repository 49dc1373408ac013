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
	// seconds of a busy topic, and one large record of the operator. Who is further behind
	// takes the whole state.
	maxTailRecords = 1024
	maxTailBytes   = 1 << 20
)

// Tail keeps a topic's latest records to pass on word for word and, of a topic with keys,
// the newest record of each.
//
// Invariant: records are those from first on, without a gap.
type Tail struct {
	keyed   bool
	first   uint64
	records []fleet.Record
	// taken is when each of them was.
	taken []time.Duration
	bytes int
	// dropped is set once records that were taken were dropped.
	dropped bool
	newest  map[string]fleet.Record
	// before are the newest records of keys as they were before the store came back from an
	// older copy, until the keys are written again, or beforeFor after it came back.
	before  map[string]fleet.Record
	rewound time.Duration
}

// NewTail returns an empty tail of a topic with keys or without.
func NewTail(keyed bool) *Tail {
	return &Tail{keyed: keyed, newest: make(map[string]fleet.Record), before: make(map[string]fleet.Record)}
}

// StoreRestored says that what follows is of a store that came back from an older copy. The records
// known until now are passed on beside, since the copy may lack them.
func (t *Tail) StoreRestored(now time.Duration) {
	maps.Copy(t.before, t.newest)
	t.rewound = now
}

// beforeFor is how long a key may take to be written again: a replica that hasn't done so is gone.
const beforeFor = 10 * time.Second

// Reset begins anew at an offset, with the newest record of each key before it.
func (t *Tail) Reset(newest []fleet.Record, next uint64) {
	t.first, t.records, t.taken, t.bytes, t.dropped = next, nil, nil, 0, false
	clear(t.newest)
	for _, r := range newest {
		t.newest[r.Key] = r
	}
}

// Append takes the next record.
func (t *Tail) Append(r fleet.Record, now time.Duration) {
	delete(t.before, r.Key)
	if t.keyed && r.Value == nil {
		delete(t.newest, r.Key)
	} else if t.keyed {
		t.newest[r.Key] = r
	}
	t.records, t.taken = append(t.records, r), append(t.taken, now)
	t.bytes += size(r)
	drop := 0
	for len(t.records)-drop > maxTailRecords || t.bytes > maxTailBytes && len(t.records)-drop > 1 {
		t.bytes -= size(t.records[drop])
		drop++
	}
	t.first += uint64(drop)
	t.records, t.taken = slices.Delete(t.records, 0, drop), slices.Delete(t.taken, 0, drop)
	t.dropped = t.dropped || drop > 0
}

// Since returns all records that are kept and the offset of the first. It reports false where
// some were dropped that were taken less than a time ago.
func (t *Tail) Since(ago, now time.Duration) (first uint64, records []fleet.Record, ok bool) {
	if t.dropped && (len(t.taken) == 0 || now-t.taken[0] < ago) {
		return 0, nil, false
	}
	return t.first, t.records, true
}

// From returns the records from an offset on; false where some of them aren't kept.
func (t *Tail) From(next uint64) ([]fleet.Record, bool) {
	if next < t.first || next > t.first+uint64(len(t.records)) {
		return nil, false
	}
	return t.records[next-t.first:], true
}

// Newest returns the newest record of each key, in the order of their positions, and before them
// those known before the store came back from an older copy.
func (t *Tail) Newest(now time.Duration) []fleet.Record {
	list := slices.Collect(maps.Values(t.newest))
	if now-t.rewound > beforeFor {
		clear(t.before)
	}
	list = slices.AppendSeq(list, maps.Values(t.before))
	slices.SortFunc(list, func(a, b fleet.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return list
}

func size(r fleet.Record) int { return len(r.Key) + len(r.Value) }
