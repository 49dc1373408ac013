package engine

import (
	"context"
	"time"

	"skylarklead/internal/prefix"
	"skylarklead/internal/wait"
)

// expireEvery is how often an idle engine looks for blocks to evict by age.
const expireEvery = 50 * time.Millisecond

// step is the work of one pass of the batch.
type step struct {
	incarnation string
	prefill     map[*request]int
	decode      []*request
	duration    time.Duration
}

// generate runs the batch until ctx ends.
func (e *Engine) generate(ctx context.Context) {
	for ctx.Err() == nil {
		e.thaw(ctx)
		s := e.plan(time.Now())
		if s == nil {
			e.idle(ctx)
			continue
		}
		sleep(ctx, s.duration)
		e.thaw(ctx)
		e.apply(s, time.Now())
	}
}

// thaw waits until the engine isn't frozen.
func (e *Engine) thaw(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		frozen := time.Until(e.frozenUntil)
		e.mu.Unlock()
		if frozen <= 0 {
			return
		}
		sleep(ctx, frozen)
	}
}

// idle waits for work, or until the engine has to look again.
func (e *Engine) idle(ctx context.Context) {
	timer := time.NewTimer(expireEvery)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.wake:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	_ = wait.For(ctx, d) // who waits looks at ctx next
}

// plan starts waiting requests and shares the next step out. It returns nil if
// there is no work.
func (e *Engine) plan(now time.Time) *step {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireBlocks(now)
	e.switchWeights()
	s := &step{incarnation: e.incarnation, prefill: map[*request]int{}}
	for _, r := range e.running {
		if r.prefillLeft() == 0 {
			s.decode = append(s.decode, r)
		}
	}
	total := e.sharePrefill(s, now)
	if len(e.running) == 0 {
		return nil
	}
	decoding := e.settings.StepMs + e.settings.StepPerRequestMs*float64(len(s.decode))
	prefilling := float64(total) / e.settings.PrefillTokensPerSecond * 1000
	s.duration = time.Duration(max(decoding, prefilling) * float64(time.Millisecond))
	return s
}

// sharePrefill gives the step's prefill tokens to requests in order of start,
// and starts waiting ones as long as some are left. A request that would get
// none isn't started, so that it finds in the cache what those before it are
// still computing.
func (e *Engine) sharePrefill(s *step, now time.Time) (total int) {
	budget := max(1, e.settings.PrefillChunk-len(s.decode))
	share := func(r *request) {
		if n := min(r.prefillLeft(), budget-total); n > 0 {
			s.prefill[r] = n
			total += n
		}
	}
	for _, r := range e.running {
		share(r)
	}
	for total < budget && e.startNext(now) {
		share(e.running[len(e.running)-1])
	}
	return total
}

// startNext starts the first waiting request if batch and cache have room. One
// that doesn't fit holds back those behind it, so that none starves.
func (e *Engine) startNext(now time.Time) bool {
	if len(e.waiting) == 0 || len(e.running) >= e.settings.MaxBatch {
		return false
	}
	return e.start(e.waiting[0], now)
}

func (e *Engine) start(r *request, now time.Time) bool {
	if r.contains(e.settings.CrashOn) {
		e.account.start(r)
		e.crash()
		return false
	}
	hits := r.cacheable()
	hits = hits[:e.cache.match(hits)]
	e.cache.acquire(hits)
	if !e.cache.reserve(r.blocks() - len(hits)) {
		e.cache.release(hits, now)
		return false
	}
	r.held, r.reserved = len(hits), r.blocks()-len(hits)
	r.cached = len(hits) * prefix.BlockTokens
	e.waiting = e.waiting[1:]
	e.running = append(e.running, r)
	e.account.start(r)
	for _, h := range hits {
		e.account.hit(r, e.cache.blocks[h].origin)
	}
	e.removed(e.cache.trim())
	return true
}

// apply does the work of a step that has taken its time.
func (e *Engine) apply(s *step, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.incarnation != e.incarnation {
		return
	}
	for _, r := range s.decode {
		e.produce(r, now)
	}
	for r, n := range s.prefill {
		e.prefill(r, n, now)
	}
}

func (e *Engine) prefill(r *request, n int, now time.Time) {
	if r.ended {
		return
	}
	r.computed += n
	e.account.computed(r, n)
	whole := min(len(r.chain), (r.cached+r.computed)/prefix.BlockTokens)
	var stored []prefix.Hash
	for ; r.held < whole; r.held++ {
		parent := r.root
		if r.held > 0 {
			parent = r.chain[r.held-1]
		}
		r.reserved--
		if e.cache.store(r.chain[r.held], parent, r.origin) {
			stored = append(stored, r.chain[r.held])
		}
	}
	e.stored(stored, true)
	if r.prefillLeft() == 0 {
		e.produce(r, now)
	}
}

func (e *Engine) produce(r *request, now time.Time) {
	if r.ended {
		return
	}
	r.produce()
	e.account.produced(r)
	if r.produced == r.maxTokens {
		e.finish(r, false, now)
	}
}

// finish takes a request off the engine, in whatever state it is.
func (e *Engine) finish(r *request, aborted bool, now time.Time) {
	e.waiting = remove(e.waiting, r)
	e.running = remove(e.running, r)
	e.cache.release(r.chain[:r.held], now)
	e.cache.reserved -= r.reserved
	r.held, r.reserved = 0, 0
	r.end(aborted)
	e.forgetLater(r)
	e.signal()
}

func (e *Engine) expireBlocks(now time.Time) {
	if e.settings.EvictAfterMs > 0 {
		e.removed(e.cache.expire(now.Add(-milliseconds(e.settings.EvictAfterMs))))
	}
	e.removed(e.cache.trim())
}
