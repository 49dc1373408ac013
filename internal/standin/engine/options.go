// Package engine is a stand-in for a model engine, with the interface of
// docs/INTERFACE.md section 2: continuous batching, a prefix cache of limited
// memory, cache events late and with gaps, lagged load reports, orders, and
// faults on demand. It generates no language, only the text of package answer.
//
// # Cost model
//
// The engine works in steps. A step prefills up to PrefillChunk tokens and
// decodes one token for each running request whose prompt is done, and takes
//
//	max(StepMs + StepPerRequestMs × decoding, prefilled / PrefillTokensPerSecond)
//
// since decoding is bound by reading memory and prefill by computing, and the
// two overlap in one batch (chunked prefill). The defaults stand for a model of
// some ten billion parameters on one accelerator:
//
//   - PrefillTokensPerSecond 20,000: a 2,000-token charter costs 100 ms, so that
//     a miss is far dearer than a lookup, as the brief says.
//   - StepMs 8 and StepPerRequestMs 0.25: 10 ms a token at a batch of 8, 16 ms
//     at 32, within the 25 ms between tokens of the target sizes.
//   - PrefillChunk 400: a step with a full chunk takes 20 ms, so prefill doesn't
//     push decoding past 25 ms.
//   - MaxBatch 32: half as much again as the 22 streams a replica of the target.
//   - CacheTokens 40,000: twenty 2,000-token prompts, fewer than the charters
//     and cases of one busy second, so eviction comes within seconds.
//   - LoadMs 150, after the platform's weight store has answered (800 ms there):
//     under a second in all.
//
// They are round figures chosen to make those ratios, not measurements of an
// engine.
package engine

import (
	"log/slog"

	"skylarklead/internal/prefix"
)

// CrashMode is what a crash does.
type CrashMode string

// The ways to crash. Exit ends the process. Reset drops all connections and
// comes back empty, as a new incarnation, within the same process.
const (
	CrashExit  CrashMode = "exit"
	CrashReset CrashMode = "reset"
)

// Options are fixed at the start.
type Options struct {
	Model   string
	Version string
	Role    string
	// Platform is the base URL of the weight store, empty for none.
	Platform string
	// Seed is of the faults by chance.
	Seed uint64
	// Settings are the first ones.
	Settings Settings
	// Logger gets a line for each run and crash; nil discards them. It is the
	// account that outlives a crash of the process.
	Logger *slog.Logger
	// Exit ends the process; nil is os.Exit.
	Exit func(code int)
}

// Settings are costs and standing faults. POST /control merges them: a field
// that is left out stays.
type Settings struct {
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	StepMs                 float64 `json:"step_ms"`
	StepPerRequestMs       float64 `json:"step_per_request_ms"`
	PrefillChunk           int     `json:"prefill_chunk"`
	MaxBatch               int     `json:"max_batch"`
	CacheTokens            int     `json:"cache_tokens"`
	// EvictAfterMs evicts blocks that were unused for so long; 0 for never.
	EvictAfterMs int64 `json:"evict_after_ms"`
	// ResumeMs is how long a stream goes on without a connection, and how long
	// its end is kept.
	ResumeMs int64 `json:"resume_ms"`

	// EventDelayMs is how late cache events come, EventDrop the share of them
	// that is lost, 0 to 1, and EventBuffer how many can be replayed.
	EventDelayMs int64   `json:"event_delay_ms"`
	EventDrop    float64 `json:"event_drop"`
	EventBuffer  int     `json:"event_buffer"`
	// ReplayDropped makes a lost event appear in a replay; it is lost for good
	// otherwise.
	ReplayDropped bool `json:"replay_dropped"`
	// LoadLagMs is how old a load report is.
	LoadLagMs int64 `json:"load_lag_ms"`

	// CheckFencing refuses orders with an old fencing number.
	CheckFencing bool `json:"check_fencing"`
	// LoadMs is how long weights take after the weight store has answered.
	LoadMs int64 `json:"load_ms"`
	// TransferTokensPerSecond is the speed of KV import.
	TransferTokensPerSecond float64 `json:"transfer_tokens_per_second"`

	CrashMode CrashMode `json:"crash_mode"`
	// CrashOn crashes the engine when a prompt that contains it starts to run.
	CrashOn string `json:"crash_on"`
	// RestartMs is how long a reset engine refuses connections.
	RestartMs int64 `json:"restart_ms"`
	// RefuseNew refuses new requests with 503.
	RefuseNew bool `json:"refuse_new"`
	// Journal keeps every change of the cache for GET /control/journal.
	Journal bool `json:"journal"`
}

// Control is the body of POST /control: settings to merge, and faults that
// happen once.
type Control struct {
	Settings
	// Crash crashes the engine now, in the way of CrashMode.
	Crash bool `json:"crash"`
	// FreezeMs stops the engine for so long: nothing is answered or generated.
	FreezeMs int64 `json:"freeze_ms"`
	// DropNextEvents loses the next so many cache events.
	DropNextEvents int `json:"drop_next_events"`
}

// DefaultSettings returns settings without faults; the package says why these.
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
