package cachemap

import (
	"slices"
	"time"

	"skylarklead/internal/prefix"
)

// identity names whose blocks a picture is of.
type identity struct {
	incarnation string
	weights     string
}

// Revision is a moment in a picture's history.
type Revision uint64

// View is what an engine is believed to hold.
type View struct {
	params Params
	// blocks has for each resident block when it was last confirmed.
	blocks map[prefix.Hash]Revision
	roots  roots
	doubts doubts
	stream stream

	identity identity
	// since is when identity was learnt, weightsSeq the event that showed its
	// weights. With observed set, a load report or an answer showed them, and
	// before are the weights until then.
	since      time.Duration
	weightsSeq uint64
	observed   bool
	before     string
	retired    []string // past incarnations

	clock     Revision
	voidedAt  Revision
	removedAt Revision
}

// maxRetired bounds the incarnations remembered as past.
const maxRetired = 8

// New returns an empty Picture.
func New(p Params) *View {
	p = p.withDefaults()
	return &View{
		params: p,
		blocks: make(map[prefix.Hash]Revision),
		roots:  newRoots(p.MaxLevels),
		stream: stream{next: 1},
	}
}

// NextSeq is the sequence number to open the event stream from.
func (p *View) NextSeq() uint64 { return p.stream.next }

// Connected notes that the event stream was opened at from: Next, or a Resync's
// From. The first event that follows is the first that the engine still has.
func (p *View) Connected(from uint64) { p.stream.connect(from) }

// Apply takes one event of the stream.
func (p *View) Apply(now time.Duration, e Event) []Action {
	past, ok := p.identify(now, e)
	if !ok {
		return nil
	}
	p.Tick(now)
	step := p.stream.take(e.Seq)
	switch step.kind {
	case stepDuplicate:
		return nil
	case stepGap:
		return p.gap(now, e, step)
	case stepSkip:
		p.cast(now, doubt{from: step.from, last: step.last, unfillable: true})
	}
	p.clock++
	if !past {
		p.change(e)
	}
	p.doubts.settle(p.stream.next)
	return nil
}

// identify moves to a new identity if that is what e shows. It reports whether e
// is of past weights, so that it only counts in the sequence, and whether e
// belongs to a live incarnation at all.
func (p *View) identify(now time.Duration, e Event) (past, ok bool) {
	id := identity{e.Incarnation, e.Weights}
	if id == p.identity {
		p.observed = false
		return false, true
	}
	if e.Incarnation != p.identity.incarnation {
		if slices.Contains(p.retired, e.Incarnation) {
			return false, false
		}
		p.void(now, id)
		return false, true
	}
	if e.Seq < p.weightsSeq || (p.observed && e.Weights == p.before) {
		return true, true
	}
	if e.Seq < p.stream.next {
		return true, true
	}
	p.void(now, id)
	p.weightsSeq = e.Seq
	return false, true
}

// Observe takes an engine's identity from its load report or an answer's
// headers, as it was age ago. A new engine's events are asked for from the first.
func (p *View) Observe(now, age time.Duration, incarnation, weights string) []Action {
	id := identity{incarnation, weights}
	if id == p.identity || incarnation == "" || slices.Contains(p.retired, incarnation) {
		return nil
	}
	before := p.identity
	if before == (identity{}) {
		p.void(now, id)
		return nil
	}
	if now-age <= p.since {
		return nil
	}
	p.void(now, id)
	if before.incarnation == incarnation {
		p.observed = true
		p.before = before.weights
		return nil
	}
	p.stream.asked = true
	return []Action{Resync{From: p.stream.next}}
}

// void empties the picture for a new identity. An engine that came back holds
// nothing of what it had, and blocks of other weights must not be used; a picture
// that kept them would draw requests here for nothing.
func (p *View) void(now time.Duration, id identity) {
	if p.identity.incarnation != id.incarnation && p.identity.incarnation != "" {
		p.retire(p.identity.incarnation)
		p.stream.restart()
		p.weightsSeq = 0
	}
	p.identity = id
	p.since = now
	p.observed = false
	p.clear()
	p.clock++
	p.voidedAt = p.clock
}

func (p *View) retire(incarnation string) {
	p.retired = append(p.retired, incarnation)
	if len(p.retired) > maxRetired {
		p.retired = slices.Delete(p.retired, 0, 1)
	}
}

// gap handles an event that came before its predecessors. Removals are taken at
// once, since claiming less is always safe; what was stored waits for the replay,
// which brings it again in its order.
func (p *View) gap(now time.Duration, e Event, s step) []Action {
	p.clock++
	switch e.Kind {
	case Removed:
		p.removeAll(e.Hashes)
	case Cleared:
		p.clearBlocks()
	}
	p.cast(now, doubt{from: s.from, last: s.last})
	if !s.ask {
		return nil
	}
	return []Action{Resync{From: s.from}}
}

// cast notes doubt on all that is confirmed so far. A gap that nothing can fill
// is no reason to doubt an empty picture.
func (p *View) cast(now time.Duration, d doubt) {
	if d.unfillable && len(p.blocks) == 0 {
		return
	}
	p.clock++
	d.before = p.clock
	d.until = now + p.params.StaleTTL
	p.doubts.cast(d)
}

// change applies an event that is in order.
func (p *View) change(e Event) {
	switch e.Kind {
	case Stored:
		for _, h := range e.Hashes {
			p.store(h, p.clock)
		}
	case Removed:
		p.removeAll(e.Hashes)
	case Cleared:
		p.clear()
	}
}

func (p *View) store(h prefix.Hash, at Revision) {
	if _, held := p.blocks[h]; !held {
		if len(p.blocks) >= p.params.MaxBlocks {
			p.shrink()
		}
		p.roots.changed(h)
	}
	p.blocks[h] = at
}

func (p *View) removeAll(hashes []prefix.Hash) {
	p.removedAt = p.clock
	for _, h := range hashes {
		p.remove(h)
	}
}

func (p *View) remove(h prefix.Hash) {
	if _, held := p.blocks[h]; held {
		delete(p.blocks, h)
		p.roots.changed(h)
	}
}

// clear empties the picture. With nothing claimed there is nothing to doubt.
func (p *View) clear() {
	p.clearBlocks()
	p.doubts.clear()
}

func (p *View) clearBlocks() {
	p.removedAt = p.clock
	clear(p.blocks)
	p.roots.allChanged()
}

// shrink forgets the quarter of the blocks that were confirmed longest ago.
func (p *View) shrink() {
	marks := make([]Revision, 0, len(p.blocks))
	for _, m := range p.blocks {
		marks = append(marks, m)
	}
	slices.Sort(marks)
	p.dropBefore(marks[len(marks)/4] + 1)
}

func (p *View) dropBefore(bound Revision) {
	for h, m := range p.blocks {
		if m < bound {
			p.remove(h)
		}
	}
}

// Tick ages out doubtful blocks. Call it every second or so.
func (p *View) Tick(now time.Duration) {
	if bound := p.doubts.expire(now); bound > 0 {
		p.dropBefore(bound)
	}
}

// Len returns the number of blocks believed resident.
func (p *View) Len() int { return len(p.blocks) }

// Stale reports whether an event was missed that nothing has made up for yet.
func (p *View) Stale() bool { return p.doubts.bound() > 0 }

// Resident returns how many tokens of a chain the engine holds in a row from its
// start, and whether any of them are in doubt.
func (p *View) Resident(chain []prefix.Hash) (tokens int, doubtful bool) {
	bound := p.doubts.bound()
	for i, h := range chain {
		at, held := p.blocks[h]
		if !held {
			return i * prefix.BlockTokens, doubtful
		}
		doubtful = doubtful || at < bound
	}
	return len(chain) * prefix.BlockTokens, doubtful
}

// NextRevision returns the present moment, to be kept while a request runs.
func (p *View) NextRevision() Revision { return p.clock + 1 }

// Reconcile takes an answer's own count of cached tokens for a request that was
// handed to the engine at mark. Blocks within the count were resident then;
// those beyond it were not, but for any stored since.
func (p *View) Reconcile(mark Revision, chain []prefix.Hash, cachedTokens int) {
	if mark <= p.voidedAt {
		return
	}
	cached := min(len(chain), cachedTokens/prefix.BlockTokens)
	for _, h := range chain[:cached] {
		p.confirm(h, mark)
	}
	for _, h := range chain[cached:] {
		if at, held := p.blocks[h]; held && at < mark {
			p.remove(h)
		}
	}
}

// confirm notes that a block was resident at mark. One that the picture lacks is
// added only if nothing that came since may have removed it.
func (p *View) confirm(h prefix.Hash, mark Revision) {
	at, held := p.blocks[h]
	if held {
		p.blocks[h] = max(at, mark-1)
		return
	}
	if p.removedAt < mark && p.doubts.bound() < mark {
		p.store(h, mark-1)
	}
}
