package engine

import (
	"context"
	"time"

	"skylarklead/internal/prefix"
	"skylarklead/internal/wait"
)

// idlePollInterval is how often an idle engine checks for blocks to evict by age.
const idlePollInterval = 50 * time.Millisecond

// step is the work of one step of the batch. prefill has the number of prompt
// tokens to compute for each request.
type step struct {
	incarnation string
	prefill     map[*request]int
	decode      []*request
	duration    time.Duration
}

// runSteps runs the batch until ctx ends.
func (e *Engine) runSteps(ctx context.Context) {
	for ctx.Err() == nil {
		e.waitWhileFrozen(ctx)
		s := e.planStep(time.Now())
		if s == nil {
			e.waitForWork(ctx)
			continue
		}
		sleep(ctx, s.duration)
		e.waitWhileFrozen(ctx)
		e.applyStep(s, time.Now())
	}
}

// waitWhileFrozen waits until the engine isn't frozen or ctx ends.
func (e *Engine) waitWhileFrozen(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		remaining := time.Until(e.frozenUntil)
		e.mu.Unlock()
		if remaining <= 0 {
			return
		}
		sleep(ctx, remaining)
	}
}

// waitForWork waits for work, at most idlePollInterval.
func (e *Engine) waitForWork(ctx context.Context) {
	timer := time.NewTimer(idlePollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.workAvailable:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	_ = wait.For(ctx, d) // callers check ctx afterwards
}

// planStep starts waiting requests and plans the next step. It returns nil if
// there is no work.
func (e *Engine) planStep(now time.Time) *step {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evictBlocks(now)
	e.activateFetchedWeights()
	s := &step{incarnation: e.incarnation, prefill: map[*request]int{}}
	for _, r := range e.running {
		if r.remainingPrefill() == 0 {
			s.decode = append(s.decode, r)
		}
	}
	total := e.allocatePrefill(s, now)
	if len(e.running) == 0 {
		return nil
	}
	decoding := e.settings.StepMs + e.settings.StepPerRequestMs*float64(len(s.decode))
	prefilling := float64(total) / e.settings.PrefillTokensPerSecond * 1000
	s.duration = time.Duration(max(decoding, prefilling) * float64(time.Millisecond))
	return s
}

// allocatePrefill assigns the step's prefill budget to running requests in order
// of their start, and starts waiting requests while some of it is left. A request
// that would get no tokens isn't started yet, so that later it can use the blocks
// that earlier requests are still computing. It returns the tokens assigned.
func (e *Engine) allocatePrefill(s *step, now time.Time) (total int) {
	budget := max(1, e.settings.PrefillChunk-len(s.decode))
	allocate := func(r *request) {
		if n := min(r.remainingPrefill(), budget-total); n > 0 {
			s.prefill[r] = n
			total += n
		}
	}
	for _, r := range e.running {
		allocate(r)
	}
	for total < budget && e.startNextWaiting(now) {
		allocate(e.running[len(e.running)-1])
	}
	return total
}

// startNextWaiting starts the first waiting request if batch and cache have
// space for it. If not, the requests behind it wait too, so that a large request
// doesn't starve.
func (e *Engine) startNextWaiting(now time.Time) bool {
	if len(e.waiting) == 0 || len(e.running) >= e.settings.MaxBatch {
		return false
	}
	return e.startRequest(e.waiting[0], now)
}

func (e *Engine) startRequest(r *request, now time.Time) bool {
	if r.contains(e.settings.CrashOn) {
		e.stats.recordStart(r)
		e.crash()
		return false
	}
	hits := r.cacheablePrefix()
	hits = hits[:e.cache.matchLength(hits)]
	e.cache.acquire(hits)
	if !e.cache.reserve(r.requiredBlocks() - len(hits)) {
		e.cache.release(hits, now)
		return false
	}
	r.heldBlocks, r.reservedBlocks = len(hits), r.requiredBlocks()-len(hits)
	r.cached = len(hits) * prefix.BlockTokens
	e.waiting = e.waiting[1:]
	e.running = append(e.running, r)
	e.stats.recordStart(r)
	for _, h := range hits {
		e.stats.recordHit(r, e.cache.blocks[h].origin)
	}
	e.publishRemoved(e.cache.evictExcess())
	return true
}

// applyStep applies the results of a step after its duration has passed, unless
// the engine has crashed meanwhile.
func (e *Engine) applyStep(s *step, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.incarnation != e.incarnation {
		return
	}
	for _, r := range s.decode {
		e.generateToken(r, now)
	}
	for r, n := range s.prefill {
		e.prefillRequest(r, n, now)
	}
}

func (e *Engine) prefillRequest(r *request, tokens int, now time.Time) {
	if r.ended {
		return
	}
	r.computed += tokens
	e.stats.recordPrefill(r, tokens)
	wholeBlocks := min(len(r.chain), (r.cached+r.computed)/prefix.BlockTokens)
	var stored []prefix.Hash
	for ; r.heldBlocks < wholeBlocks; r.heldBlocks++ {
		parent := r.root
		if r.heldBlocks > 0 {
			parent = r.chain[r.heldBlocks-1]
		}
		r.reservedBlocks--
		if e.cache.store(r.chain[r.heldBlocks], parent, r.origin) {
			stored = append(stored, r.chain[r.heldBlocks])
		}
	}
	e.publishStored(stored, true)
	if r.remainingPrefill() == 0 {
		e.generateToken(r, now)
	}
}

func (e *Engine) generateToken(r *request, now time.Time) {
	if r.ended {
		return
	}
	r.appendToken()
	e.stats.recordToken(r)
	if r.generated == r.maxTokens {
		e.finishRequest(r, false, now)
	}
}

// finishRequest removes a request, waiting or running, and releases its blocks.
func (e *Engine) finishRequest(r *request, aborted bool, now time.Time) {
	e.waiting = removeRequest(e.waiting, r)
	e.running = removeRequest(e.running, r)
	e.cache.release(r.chain[:r.heldBlocks], now)
	e.cache.reserved -= r.reservedBlocks
	r.heldBlocks, r.reservedBlocks = 0, 0
	r.end(aborted)
	e.scheduleStreamRemoval(r)
	e.wakeStepLoop()
}

func (e *Engine) evictBlocks(now time.Time) {
	if e.settings.EvictAfterMs > 0 {
		e.publishRemoved(e.cache.evictIdleSince(now.Add(-milliseconds(e.settings.EvictAfterMs))))
	}
	e.publishRemoved(e.cache.evictExcess())
}
