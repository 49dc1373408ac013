package engine

import (
	"encoding/json"
	"log/slog"
	"maps"
	"time"

	api "skylarklead/internal/engine"
	"skylarklead/internal/prefix"
)

// Stats is what GET /control/account tells: the engine's own truth, over all
// incarnations of the process.
type Stats struct {
	Incarnation string `json:"incarnation"`
	Weights     string `json:"weights_version"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// ResidentBlocks is exact; ResidentHashes are told with ?hashes=1.
	ResidentBlocks int                     `json:"resident_blocks"`
	ResidentHashes api.Hashes              `json:"resident_hashes,omitempty"`
	Requests       map[string]RequestStats `json:"requests"`
	Totals         Totals                  `json:"totals"`
	Crashed        map[string][]string     `json:"crashed"`
}

// RequestStats tells of one request ID. But for Runs and Crashes it is of its last run.
type RequestStats struct {
	PromptTokens     int    `json:"prompt_tokens"`
	CachedTokens     int    `json:"cached_tokens"`
	ComputedTokens   int    `json:"computed_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
	Salt             string `json:"salt"`
	Weights          string `json:"weights_version"`
	Incarnation      string `json:"incarnation"`
	Cancelled        bool   `json:"cancelled"`
	// Runs counts how often it started.
	Runs int `json:"runs"`
	// Parameters are the body's fields that the stand-in ignores.
	Parameters map[string]json.RawMessage `json:"parameters,omitempty"`
}

// Totals sum over all runs.
type Totals struct {
	Runs             int `json:"runs"`
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	ComputedTokens   int `json:"computed_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Cancelled        int `json:"cancelled"`
	Crashes          int `json:"crashes"`
	// HitsBySalt and HitsByOrigin are cached tokens, by the salt of the request
	// and by the incarnation that computed them.
	HitsBySalt   map[string]int `json:"hits_by_salt"`
	HitsByOrigin map[string]int `json:"hits_by_origin"`
	// ForeignHits are cached tokens whose content was computed for another salt
	// or under other weights: anything but 0 breaks the isolation.
	ForeignHits int `json:"foreign_hits"`
	// Orders were taken; StaleOrders of them had a number below the highest.
	Orders      int `json:"orders"`
	StaleOrders int `json:"stale_orders"`
	// RefusedOrders had an old number and were refused.
	RefusedOrders int `json:"refused_orders"`
}

// account keeps the books. Its methods are called under the engine's lock.
type account struct {
	logger   *slog.Logger
	requests map[string]*RequestStats
	totals   Totals
	// live are the requests that started in the present incarnation and haven't
	// ended; crashed names them for each incarnation that crashed.
	live    map[*request]bool
	crashed map[string][]string
}

func newAccount(logger *slog.Logger) *account {
	return &account{
		logger:   logger,
		requests: map[string]*RequestStats{},
		totals:   Totals{HitsBySalt: map[string]int{}, HitsByOrigin: map[string]int{}},
		live:     map[*request]bool{},
		crashed:  map[string][]string{},
	}
}

func (a *account) start(r *request) {
	record := a.requests[r.id]
	if record == nil {
		record = &RequestStats{}
		a.requests[r.id] = record
	}
	*record = RequestStats{
		PromptTokens: r.promptTokens,
		CachedTokens: r.cached,
		Salt:         r.origin.Salt,
		Weights:      r.origin.Weights,
		Incarnation:  r.origin.Incarnation,
		Runs:         record.Runs + 1,
		Parameters:   r.parameters,
	}
	a.live[r] = true
	a.totals.Runs++
	a.totals.PromptTokens += r.promptTokens
	a.totals.CachedTokens += r.cached
	a.logger.Info("run", "request", r.id, "salt", r.origin.Salt, "weights_version", r.origin.Weights,
		"incarnation", r.origin.Incarnation, "prompt_tokens", r.promptTokens, "cached_tokens", r.cached)
}

func (a *account) hit(r *request, from origin) {
	a.totals.HitsBySalt[r.origin.Salt] += prefix.BlockTokens
	a.totals.HitsByOrigin[from.Incarnation] += prefix.BlockTokens
	if from.Salt != r.origin.Salt || from.Weights != r.origin.Weights {
		a.totals.ForeignHits += prefix.BlockTokens
	}
}

func (a *account) computed(r *request, tokens int) {
	a.requests[r.id].ComputedTokens += tokens
	a.totals.ComputedTokens += tokens
}

func (a *account) produced(r *request) {
	a.requests[r.id].CompletionTokens++
	a.totals.CompletionTokens++
	if r.produced == r.maxTokens {
		delete(a.live, r)
	}
}

func (a *account) cancelled(r *request) {
	delete(a.live, r)
	a.totals.Cancelled++
	if record := a.requests[r.id]; record != nil {
		record.Cancelled = true
		return
	}
	a.requests[r.id] = &RequestStats{Cancelled: true, Salt: r.origin.Salt}
}

func (a *account) crash(incarnation string) {
	a.totals.Crashes++
	ids := []string{}
	for r := range a.live {
		ids = append(ids, r.id)
	}
	a.crashed[incarnation] = ids
	clear(a.live)
	a.logger.Warn("crash", "incarnation", incarnation, "running", ids)
}

// report returns a copy of the books.
func (e *Engine) report(hashes bool) Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := Stats{
		Incarnation:    e.incarnation,
		Weights:        e.orders.state.Version,
		Running:        len(e.running),
		Waiting:        len(e.waiting),
		ResidentBlocks: len(e.cache.blocks),
		Requests:       make(map[string]RequestStats, len(e.account.requests)),
		Totals:         e.account.totals,
		Crashed:        maps.Clone(e.account.crashed),
	}
	out.Totals.HitsBySalt = maps.Clone(e.account.totals.HitsBySalt)
	out.Totals.HitsByOrigin = maps.Clone(e.account.totals.HitsByOrigin)
	for id, record := range e.account.requests {
		out.Requests[id] = *record
	}
	if hashes {
		for h := range e.cache.blocks {
			out.ResidentHashes = append(out.ResidentHashes, h)
		}
	}
	return out
}

// JournalKind is a change of the cache.
type JournalKind string

// The kinds of changes.
const (
	JournalComputed JournalKind = "computed"
	JournalImported JournalKind = "imported"
	JournalRemoved  JournalKind = "removed"
	JournalCleared  JournalKind = "cleared"
)

// JournalEntry is an exact change of the cache. TimeUs is wall time in
// microseconds, to set the journals of engines on one machine side by side.
type JournalEntry struct {
	TimeUs int64       `json:"time_us"`
	Kind   JournalKind `json:"kind"`
	Hashes api.Hashes  `json:"hashes"`
}

func (e *Engine) record(kind JournalKind, hashes []prefix.Hash) {
	if e.settings.Journal {
		e.journal = append(e.journal, JournalEntry{TimeUs: time.Now().UnixMicro(), Kind: kind, Hashes: hashes})
	}
}
