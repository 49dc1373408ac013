package cachemap

import (
	"slices"
	"time"

	"skylarklead/internal/prefix"
)

// identity identifies the engine process and weights that the blocks belong to.
type identity struct {
	incarnation string
	weights     string
}

// Revision counts the changes of a View; it orders them and the requests to the engine.
type Revision uint64

// View is the expected content of an engine's prefix cache.
type View struct {
	params Params
	// blocks has the resident blocks, each with the revision at which it was last confirmed.
	blocks map[prefix.Hash]Revision
	levels levelTracker
	gaps   gaps
	stream eventStream

	identity identity
	// identifiedAt is when identity became known, weightsSeq the event that showed its weights.
	// If identityObserved is set, a load report or an answer showed them, and previousWeights are
	// those before.
	identifiedAt        time.Duration
	weightsSeq          uint64
	identityObserved    bool
	previousWeights     string
	retiredIncarnations []string

	// revision is the current one, resetRevision that of the last reset, removedRevision that of the
	// last change that may have removed blocks.
	revision        Revision
	resetRevision   Revision
	removedRevision Revision
}

// maxRetired bounds the past incarnations remembered.
const maxRetired = 8

// New returns an empty View.
func New(p Params) *View {
	p = p.withDefaults()
	return &View{
		params: p,
		blocks: make(map[prefix.Hash]Revision),
		levels: newLevelTracker(p.MaxLevels),
		stream: eventStream{next: 1},
	}
}

// NextSeq is the sequence number from which to open the event stream.
func (v *View) NextSeq() uint64 { return v.stream.next }

// Connected records that the event stream was opened at from, which is NextSeq or a Resync's
// From. The next event is the first one from there that the engine still has.
func (v *View) Connected(from uint64) { v.stream.connect(from) }

// Apply applies one event of the stream.
func (v *View) Apply(now time.Duration, e Event) []Action {
	pastWeights, live := v.identify(now, e)
	if !live {
		return nil
	}
	v.Tick(now)
	step := v.stream.classify(e.Seq)
	switch step.kind {
	case stepDuplicate:
		return nil
	case stepGap:
		return v.handleGap(now, e, step)
	case stepSkip:
		v.recordGap(now, gap{from: step.from, last: step.last, unfillable: true})
	}
	v.revision++
	if !pastWeights {
		v.change(e)
	}
	v.gaps.removeReplayed(v.stream.next)
	return nil
}

// identify switches to the identity of e if it is new. pastWeights is set if e belongs to earlier
// weights, so that only its sequence number counts; live is false if e belongs to a past
// incarnation.
func (v *View) identify(now time.Duration, e Event) (pastWeights, live bool) {
	id := identity{e.Incarnation, e.Weights}
	if id == v.identity {
		v.identityObserved = false
		return false, true
	}
	if e.Incarnation != v.identity.incarnation {
		if slices.Contains(v.retiredIncarnations, e.Incarnation) {
			return false, false
		}
		v.reset(now, id)
		return false, true
	}
	if e.Seq < v.weightsSeq || (v.identityObserved && e.Weights == v.previousWeights) {
		return true, true
	}
	if e.Seq < v.stream.next {
		return true, true
	}
	v.reset(now, id)
	v.weightsSeq = e.Seq
	return false, true
}

// Observe applies the engine's identity as stated by a load report or an answer's headers, age
// ago. The events of a new incarnation are requested from the first one.
func (v *View) Observe(now, age time.Duration, incarnation, weights string) []Action {
	id := identity{incarnation, weights}
	if id == v.identity || incarnation == "" || slices.Contains(v.retiredIncarnations, incarnation) {
		return nil
	}
	previous := v.identity
	if previous == (identity{}) {
		v.reset(now, id)
		return nil
	}
	if now-age <= v.identifiedAt {
		return nil
	}
	v.reset(now, id)
	if previous.incarnation == incarnation {
		v.identityObserved = true
		v.previousWeights = previous.weights
		return nil
	}
	v.stream.resyncPending = true
	return []Action{Resync{From: v.stream.next}}
}

// reset empties the view for a new identity. A restarted engine has lost its cache, and blocks of
// other weights must not be used; a view that kept them would attract requests for nothing.
func (v *View) reset(now time.Duration, id identity) {
	if v.identity.incarnation != id.incarnation && v.identity.incarnation != "" {
		v.retire(v.identity.incarnation)
		v.stream.reset()
		v.weightsSeq = 0
	}
	v.identity = id
	v.identifiedAt = now
	v.identityObserved = false
	v.clear()
	v.revision++
	v.resetRevision = v.revision
}

func (v *View) retire(incarnation string) {
	v.retiredIncarnations = append(v.retiredIncarnations, incarnation)
	if len(v.retiredIncarnations) > maxRetired {
		v.retiredIncarnations = slices.Delete(v.retiredIncarnations, 0, 1)
	}
}

// handleGap handles an event whose predecessors are missing. Removals are applied at once, since
// reporting fewer blocks is always safe. Stored blocks wait for the replay, which contains this
// event again in its order.
func (v *View) handleGap(now time.Duration, e Event, missing step) []Action {
	v.revision++
	switch e.Kind {
	case Removed:
		v.removeAll(e.Hashes)
	case Cleared:
		v.clearBlocks()
	}
	v.recordGap(now, gap{from: missing.from, last: missing.last})
	if !missing.resync {
		return nil
	}
	return []Action{Resync{From: missing.from}}
}

// recordGap makes all blocks confirmed so far stale. An unfillable gap is ignored while the view
// is empty.
func (v *View) recordGap(now time.Duration, missing gap) {
	if missing.unfillable && len(v.blocks) == 0 {
		return
	}
	v.revision++
	missing.before = v.revision
	missing.expiresAt = now + v.params.StaleTTL
	v.gaps.add(missing)
}

// change applies an event that is in order.
func (v *View) change(e Event) {
	switch e.Kind {
	case Stored:
		for _, h := range e.Hashes {
			v.store(h, v.revision)
		}
	case Removed:
		v.removeAll(e.Hashes)
	case Cleared:
		v.clear()
	}
}

func (v *View) store(h prefix.Hash, revision Revision) {
	if _, held := v.blocks[h]; !held {
		if len(v.blocks) >= v.params.MaxBlocks {
			v.evictOldest()
		}
		v.levels.markChanged(h)
	}
	v.blocks[h] = revision
}

func (v *View) removeAll(hashes []prefix.Hash) {
	v.removedRevision = v.revision
	for _, h := range hashes {
		v.remove(h)
	}
}

func (v *View) remove(h prefix.Hash) {
	if _, held := v.blocks[h]; held {
		delete(v.blocks, h)
		v.levels.markChanged(h)
	}
}

// clear empties the view. Without blocks nothing is stale, so the gaps are dropped too.
func (v *View) clear() {
	v.clearBlocks()
	v.gaps.clear()
}

func (v *View) clearBlocks() {
	v.removedRevision = v.revision
	clear(v.blocks)
	v.levels.markAllChanged()
}

// evictOldest drops the quarter of the blocks that were confirmed longest ago.
func (v *View) evictOldest() {
	revisions := make([]Revision, 0, len(v.blocks))
	for _, revision := range v.blocks {
		revisions = append(revisions, revision)
	}
	slices.Sort(revisions)
	v.dropBefore(revisions[len(revisions)/4] + 1)
}

func (v *View) dropBefore(revision Revision) {
	for h, confirmed := range v.blocks {
		if confirmed < revision {
			v.remove(h)
		}
	}
}

// Tick drops stale blocks that have expired. It should be called about once per second.
func (v *View) Tick(now time.Duration) {
	if staleBefore := v.gaps.expire(now); staleBefore > 0 {
		v.dropBefore(staleBefore)
	}
}

// Len returns the number of blocks in the view.
func (v *View) Len() int { return len(v.blocks) }

// Stale reports whether events are missing that no replay has brought so far.
func (v *View) Stale() bool { return v.gaps.staleBefore() > 0 }

// Resident returns how many tokens from the start of a chain the engine holds without a gap, and
// whether any of their blocks are stale.
func (v *View) Resident(chain []prefix.Hash) (tokens int, stale bool) {
	staleBefore := v.gaps.staleBefore()
	for i, h := range chain {
		confirmed, held := v.blocks[h]
		if !held {
			return i * prefix.BlockTokens, stale
		}
		stale = stale || confirmed < staleBefore
	}
	return len(chain) * prefix.BlockTokens, stale
}

// NextRevision returns the revision to pass to Reconcile for a request that is sent to the engine
// now.
func (v *View) NextRevision() Revision { return v.revision + 1 }

// Reconcile applies an answer's count of cached tokens for a request that was sent to the engine
// at revision. Blocks within the count were resident then; those beyond it were not, except
// blocks stored since.
func (v *View) Reconcile(revision Revision, chain []prefix.Hash, cachedTokens int) {
	if revision <= v.resetRevision {
		return
	}
	cached := min(len(chain), cachedTokens/prefix.BlockTokens)
	for _, h := range chain[:cached] {
		v.confirm(h, revision)
	}
	for _, h := range chain[cached:] {
		if confirmed, held := v.blocks[h]; held && confirmed < revision {
			v.remove(h)
		}
	}
}

// confirm records that a block was resident at revision. A block missing from the view is added
// only if no later event can have removed it.
func (v *View) confirm(h prefix.Hash, revision Revision) {
	confirmed, held := v.blocks[h]
	if held {
		v.blocks[h] = max(confirmed, revision-1)
		return
	}
	if v.removedRevision < revision && v.gaps.staleBefore() < revision {
		v.store(h, revision-1)
	}
}
