package cachemap

import (
	"slices"
	"time"
)

// gap is a run of missing events. Blocks last confirmed before it may have been evicted.
type gap struct {
	from, last uint64 // the missing sequence numbers
	before     Revision
	expiresAt  time.Duration
	// unfillable is set if the engine no longer has the missing events. The gap then ends only
	// when it expires, together with the blocks confirmed before it.
	unfillable bool
}

// maxGaps bounds the gaps remembered; beyond it the oldest two are merged.
const maxGaps = 16

// gaps are the gaps not filled by a replay so far, oldest first.
type gaps struct{ list []gap }

func (g *gaps) add(added gap) {
	for i := range g.list {
		known := &g.list[i]
		if known.unfillable || known.from != added.from {
			continue
		}
		if added.unfillable {
			g.list = slices.Delete(g.list, i, i+1)
			break
		}
		known.last = max(known.last, added.last)
		return
	}
	g.list = append(g.list, added)
	if len(g.list) > maxGaps {
		g.mergeOldest()
	}
}

// mergeOldest merges the oldest two gaps into one that covers the blocks of both and expires with
// the first of them, so that no block stays longer than with either gap alone.
func (g *gaps) mergeOldest() {
	g.list[1].expiresAt = min(g.list[0].expiresAt, g.list[1].expiresAt)
	g.list[1].unfillable = true
	g.list = slices.Delete(g.list, 0, 1)
}

// removeReplayed removes the gaps whose events have all arrived.
func (g *gaps) removeReplayed(next uint64) {
	g.list = slices.DeleteFunc(g.list, func(missing gap) bool { return !missing.unfillable && missing.last < next })
}

// expire removes the gaps whose time has passed and returns the revision before which blocks must
// be dropped, or 0.
func (g *gaps) expire(now time.Duration) Revision {
	var staleBefore Revision
	g.list = slices.DeleteFunc(g.list, func(missing gap) bool {
		if now < missing.expiresAt {
			return false
		}
		staleBefore = max(staleBefore, missing.before)
		return true
	})
	return staleBefore
}

// staleBefore is the revision before which blocks are stale, or 0.
func (g *gaps) staleBefore() Revision {
	var revision Revision
	for _, missing := range g.list {
		revision = max(revision, missing.before)
	}
	return revision
}

func (g *gaps) clear() { g.list = g.list[:0] }
