// Package engine is a stand-in for a model engine. It implements the interface of
// docs/INTERFACE.md section 2: continuous batching, a prefix cache of limited
// size, cache events that are delayed and can be lost, load reports that lag,
// orders, and faults on request. It runs no model; it generates the text of
// package answer.
//
// # Cost model
//
// The engine works in steps. A step prefills up to PrefillChunk tokens and
// decodes one token for each running request whose prefill is done, and takes
//
//	max(StepMs + StepPerRequestMs × decoding, prefilled / PrefillTokensPerSecond)
//
// since decoding is memory-bound and prefill compute-bound, and the two overlap
// in one batch (chunked prefill). The defaults correspond to a model of about ten
// billion parameters on one accelerator:
//
//   - PrefillTokensPerSecond 20,000: a 2,000-token charter takes 100 ms, so that
//     a cache miss is much more expensive than a cache lookup.
//   - StepMs 8 and StepPerRequestMs 0.25: 10 ms a token at a batch of 8, 16 ms
//     at 32, within the target of 25 ms between tokens.
//   - PrefillChunk 400: a step with a full chunk takes 20 ms, so prefill doesn't
//     raise the time between tokens above 25 ms.
//   - MaxBatch 32: about 1.5 times the 22 streams a replica of the target size.
//   - CacheTokens 40,000: twenty 2,000-token prompts, fewer than the charters
//     and cases requested in one busy second, so eviction begins within seconds.
//   - LoadMs 150, after the response of the weight store, which takes 800 ms in
//     the platform's stand-in: less than a second in all.
//
// They are round figures that give these ratios and don't describe a particular
// engine.
package engine

import (
	"log/slog"

	"skylarklead/internal/prefix"
)

// CrashMode is the effect of a crash.
type CrashMode string

// CrashExit ends the process. CrashReset drops all connections and starts a new
// incarnation with an empty cache in the same process.
const (
	CrashExit  CrashMode = "exit"
	CrashReset CrashMode = "reset"
)

// Options are fixed for the life of an Engine.
type Options struct {
	Model   string
	Version string
	Role    string
	// Platform is the base URL of the weight store. If it is empty, weights are
	// available at once.
	Platform string
	// Seed is the seed of random faults.
	Seed uint64
	// Settings are the initial settings.
	Settings Settings
	// Logger logs each run, order and crash; nil discards them. Unlike Stats, the
	// log survives a crash of the process.
	Logger *slog.Logger
	// Exit ends the process, os.Exit if nil.
	Exit func(code int)
}

// Settings are costs and persistent faults. POST /control merges them: a field
// that is left out keeps its value.
type Settings struct {
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	StepMs                 float64 `json:"step_ms"`
	StepPerRequestMs       float64 `json:"step_per_request_ms"`
	PrefillChunk           int     `json:"prefill_chunk"`
	MaxBatch               int     `json:"max_batch"`
	CacheTokens            int     `json:"cache_tokens"`
	// EvictAfterMs is after how long an idle block is evicted, 0 for never.
	EvictAfterMs int64 `json:"evict_after_ms"`
	// ResumeMs is how long a stream continues without a connection, and how long
	// an ended stream can be resumed.
	ResumeMs int64 `json:"resume_ms"`

	// EventDelayMs is the delay of cache events, EventDrop the probability that
	// one is lost, 0 to 1, and EventBuffer how many are kept for replay.
	EventDelayMs int64   `json:"event_delay_ms"`
	EventDrop    float64 `json:"event_drop"`
	EventBuffer  int     `json:"event_buffer"`
	// ReplayDropped includes lost events in a replay; otherwise they are lost
	// permanently.
	ReplayDropped bool `json:"replay_dropped"`
	// LoadLagMs is the age of load reports.
	LoadLagMs int64 `json:"load_lag_ms"`

	// CheckFencing refuses orders with an old fencing number.
	CheckFencing bool `json:"check_fencing"`
	// LoadMs is the time to load weights after the weight store has responded.
	LoadMs int64 `json:"load_ms"`
	// TransferTokensPerSecond is the speed of KV import.
	TransferTokensPerSecond float64 `json:"transfer_tokens_per_second"`

	CrashMode CrashMode `json:"crash_mode"`
	// CrashOn crashes the engine when a request whose prompt contains this text
	// is started.
	CrashOn string `json:"crash_on"`
	// RestartMs is how long a reset engine refuses connections.
	RestartMs int64 `json:"restart_ms"`
	// RefuseNew refuses new requests with 503.
	RefuseNew bool `json:"refuse_new"`
	// Journal records every change of the cache for GET /control/journal.
	Journal bool `json:"journal"`
}

// Control is the body of POST /control: settings to merge, and one-time faults.
type Control struct {
	Settings
	// Crash crashes the engine at once, with the effect of CrashMode.
	Crash bool `json:"crash"`
	// FreezeMs suspends the engine for this long: it neither responds nor
	// generates tokens.
	FreezeMs int64 `json:"freeze_ms"`
	// DropNextEvents is how many of the next cache events are lost.
	DropNextEvents int `json:"drop_next_events"`
}

// DefaultSettings returns settings without faults. The package comment explains the
// values.
func DefaultSettings() Settings {
	return Settings{
		PrefillTokensPerSecond:  20_000,
		StepMs:                  8,
		StepPerRequestMs:        0.25,
		PrefillChunk:            400,
		MaxBatch:                32,
		CacheTokens:             40_000,
		ResumeMs:                5_000,
		EventDelayMs:            50,
		EventBuffer:             1_000,
		LoadLagMs:               200,
		LoadMs:                  150,
		TransferTokensPerSecond: 200_000,
		CrashMode:               CrashExit,
		RestartMs:               500,
	}
}

func (s *Settings) cacheBlocks() int { return s.CacheTokens / prefix.BlockTokens }
