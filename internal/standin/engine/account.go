package engine

import (
	"encoding/json"
	"log/slog"
	"maps"
	"time"

	api "skylarklead/internal/engine"
	"skylarklead/internal/prefix"
)

// Stats is the response of GET /control/account. It is exact, neither delayed nor
// lossy, and the request counts cover all incarnations of the process.
type Stats struct {
	Incarnation string `json:"incarnation"`
	Weights     string `json:"weights_version"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// ResidentBlocks is the number of blocks in the cache. ResidentHashes is only
	// set with ?hashes=1.
	ResidentBlocks int                     `json:"resident_blocks"`
	ResidentHashes api.Hashes              `json:"resident_hashes,omitempty"`
	Requests       map[string]RequestStats `json:"requests"`
	Totals         Totals                  `json:"totals"`
	Crashed        map[string][]string     `json:"crashed"`
}

// RequestStats describes one request ID. All fields except Runs are of its last
// run.
type RequestStats struct {
	PromptTokens     int    `json:"prompt_tokens"`
	CachedTokens     int    `json:"cached_tokens"`
	ComputedTokens   int    `json:"computed_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
	Salt             string `json:"salt"`
	Weights          string `json:"weights_version"`
	Incarnation      string `json:"incarnation"`
	Cancelled        bool   `json:"cancelled"`
	// Runs counts how often the request was started.
	Runs int `json:"runs"`
	// Parameters are the fields of the request body that the stand-in ignores.
	Parameters map[string]json.RawMessage `json:"parameters,omitempty"`
}

// Totals are sums over all runs.
type Totals struct {
	Runs             int `json:"runs"`
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	ComputedTokens   int `json:"computed_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Cancelled        int `json:"cancelled"`
	Crashes          int `json:"crashes"`
	// HitsBySalt and HitsByOrigin count cached tokens by the salt of the request
	// and by the incarnation that computed them.
	HitsBySalt   map[string]int `json:"hits_by_salt"`
	HitsByOrigin map[string]int `json:"hits_by_origin"`
	// ForeignHits counts cached tokens that were computed for another salt or
	// with other weights. Any value but 0 is a violation of cache isolation.
	ForeignHits int `json:"foreign_hits"`
	// Orders counts accepted orders; StaleOrders counts those of them whose
	// fencing number was below the highest one seen.
	Orders      int `json:"orders"`
	StaleOrders int `json:"stale_orders"`
	// RefusedOrders counts orders refused because of an old fencing number.
	RefusedOrders int `json:"refused_orders"`
}

// statsRecorder collects Stats. Its methods must be called with Engine.mu held.
type statsRecorder struct {
	logger   *slog.Logger
	requests map[string]*RequestStats
	totals   Totals
	// active holds the requests that were started in the current incarnation and
	// haven't ended. crashed has the IDs of the requests that were active when an
	// incarnation crashed, by incarnation.
	active  map[*request]bool
	crashed map[string][]string
}

func newStatsRecorder(logger *slog.Logger) *statsRecorder {
	return &statsRecorder{
		logger:   logger,
		requests: map[string]*RequestStats{},
		totals:   Totals{HitsBySalt: map[string]int{}, HitsByOrigin: map[string]int{}},
		active:   map[*request]bool{},
		crashed:  map[string][]string{},
	}
}

func (s *statsRecorder) recordStart(r *request) {
	stats := s.requests[r.id]
	if stats == nil {
		stats = &RequestStats{}
		s.requests[r.id] = stats
	}
	*stats = RequestStats{
		PromptTokens: r.promptTokens,
		CachedTokens: r.cached,
		Salt:         r.origin.Salt,
		Weights:      r.origin.Weights,
		Incarnation:  r.origin.Incarnation,
		Runs:         stats.Runs + 1,
		Parameters:   r.parameters,
	}
	s.active[r] = true
	s.totals.Runs++
	s.totals.PromptTokens += r.promptTokens
	s.totals.CachedTokens += r.cached
	s.logger.Info("run", "request", r.id, "salt", r.origin.Salt, "weights_version", r.origin.Weights,
		"incarnation", r.origin.Incarnation, "prompt_tokens", r.promptTokens, "cached_tokens", r.cached)
}

func (s *statsRecorder) recordHit(r *request, source origin) {
	s.totals.HitsBySalt[r.origin.Salt] += prefix.BlockTokens
	s.totals.HitsByOrigin[source.Incarnation] += prefix.BlockTokens
	if source.Salt != r.origin.Salt || source.Weights != r.origin.Weights {
		s.totals.ForeignHits += prefix.BlockTokens
	}
}

func (s *statsRecorder) recordPrefill(r *request, tokens int) {
	s.requests[r.id].ComputedTokens += tokens
	s.totals.ComputedTokens += tokens
}

func (s *statsRecorder) recordToken(r *request) {
	s.requests[r.id].CompletionTokens++
	s.totals.CompletionTokens++
	if r.generated == r.maxTokens {
		delete(s.active, r)
	}
}

func (s *statsRecorder) recordCancellation(r *request) {
	delete(s.active, r)
	s.totals.Cancelled++
	if stats := s.requests[r.id]; stats != nil {
		stats.Cancelled = true
		return
	}
	s.requests[r.id] = &RequestStats{Cancelled: true, Salt: r.origin.Salt}
}

func (s *statsRecorder) recordCrash(incarnation string) {
	s.totals.Crashes++
	ids := []string{}
	for r := range s.active {
		ids = append(ids, r.id)
	}
	s.crashed[incarnation] = ids
	clear(s.active)
	s.logger.Warn("crash", "incarnation", incarnation, "running", ids)
}

// snapshotStats returns a copy of the statistics, with the hashes of all resident
// blocks if withHashes is set.
func (e *Engine) snapshotStats(withHashes bool) Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := Stats{
		Incarnation:    e.incarnation,
		Weights:        e.orders.state.Version,
		Running:        len(e.running),
		Waiting:        len(e.waiting),
		ResidentBlocks: len(e.cache.blocks),
		Requests:       make(map[string]RequestStats, len(e.stats.requests)),
		Totals:         e.stats.totals,
		Crashed:        maps.Clone(e.stats.crashed),
	}
	out.Totals.HitsBySalt = maps.Clone(e.stats.totals.HitsBySalt)
	out.Totals.HitsByOrigin = maps.Clone(e.stats.totals.HitsByOrigin)
	for id, requestStats := range e.stats.requests {
		out.Requests[id] = *requestStats
	}
	if withHashes {
		for h := range e.cache.blocks {
			out.ResidentHashes = append(out.ResidentHashes, h)
		}
	}
	return out
}

// JournalKind is the kind of a change of the cache.
type JournalKind string

// The kinds of changes.
const (
	JournalComputed JournalKind = "computed"
	JournalImported JournalKind = "imported"
	JournalRemoved  JournalKind = "removed"
	JournalCleared  JournalKind = "cleared"
)

// JournalEntry is one change of the cache, recorded when it takes effect. TimeUs
// is wall-clock time in microseconds, so that the journals of engines on one
// machine can be merged.
type JournalEntry struct {
	TimeUs int64       `json:"time_us"`
	Kind   JournalKind `json:"kind"`
	Hashes api.Hashes  `json:"hashes"`
}

func (e *Engine) recordCacheChange(kind JournalKind, hashes []prefix.Hash) {
	if e.settings.Journal {
		e.journal = append(e.journal, JournalEntry{TimeUs: time.Now().UnixMicro(), Kind: kind, Hashes: hashes})
	}
}
