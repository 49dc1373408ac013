package route

import (
	"time"

	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
)

// MaxCandidates bounds the candidates that a Result explains.
const MaxCandidates = 8

// Query is a request to be placed.
type Query struct {
	protocol.Ask
	// Suspect marks a request that was running when an engine crashed: it is
	// placed where the least work would be lost with it.
	Suspect bool
	// Poison marks a request that has crashed too many engines; it is refused.
	Poison bool
}

// Endpoint is one endpoint as the owner's membership view has it.
type Endpoint struct {
	ID            string
	Epoch         protocol.Epoch
	FailureDomain string
	Alive         bool
	Leaving       bool
	// Load is the last load summary, LoadAge its age. With HasLoad false there
	// is none yet and the endpoint counts as idle and its engine as up.
	Load    protocol.Load
	LoadAge time.Duration
	HasLoad bool
}

// Result is a decision: an executor, or a refusal when Refusal is set.
type Result struct {
	Executor        string
	Epoch           protocol.Epoch
	Reason          string
	PredictedCached int
	Suspect         bool
	// Donor is where the executor is to import the prefix from, nil for nowhere.
	Donor *protocol.Donor
	// Candidates has the executor first, then the next best, then some of those
	// that were filtered out, MaxCandidates at most.
	Candidates []protocol.Candidate
	Refusal    *protocol.Refusal
}

// Outcome tells what became of a decided request at its executor.
type Outcome struct {
	Endpoint     string
	Epoch        protocol.Epoch
	Organisation string
	Levels       []prefix.Level
	// CachedTokens and PromptTokens are the engine's own account.
	CachedTokens int
	PromptTokens int
	// Ran is false when the engine never had the request: nothing is then
	// learnt about its cache.
	Ran bool
}

// Advertisement is an endpoint's own word on what its engine holds, out of a
// heartbeat that the membership view has accepted.
type Advertisement struct {
	Endpoint    string
	Epoch       protocol.Epoch
	Incarnation string
	Version     string
	Residents   []protocol.Resident
	// Full marks that Residents is all there is.
	Full bool
}

// Params are the constants of scoring. Zero fields take the defaults.
type Params struct {
	// PrefillTokensPerSecond and DecodeTokenTime are the engines' speeds,
	// MaxRunning how many requests an endpoint runs at once.
	PrefillTokensPerSecond float64
	DecodeTokenTime        time.Duration
	MaxRunning             int
	// TransferTokensPerSecond is the speed of export and import together, 0 for
	// none; TransferSetup is what a transfer costs however short it is.
	TransferTokensPerSecond float64
	TransferSetup           time.Duration
	// SmallReserve is the share of places that admission keeps for organisations
	// that use little, 0 to 1.
	SmallReserve float64
	// CacheTokens is an engine's cache size where its load doesn't say.
	CacheTokens int
	// CrossingCost is the one-way delay between failure domains.
	CrossingCost time.Duration
	// CacheHorizon is how long a block stays useful once stored: a new copy must
	// pay off within it, and harm counts the hits that an evicted block would
	// have had in that time.
	CacheHorizon time.Duration
	// HeatHalfLife is the half-life of the rates.
	HeatHalfLife time.Duration
	// WidenWait and NarrowWait are the two thresholds on the wait at the best
	// holder of a prefix; NarrowHold is how long it must stay low.
	WidenWait  time.Duration
	NarrowWait time.Duration
	NarrowHold time.Duration
	// WidenHold is the least time between two widenings of one prefix.
	WidenHold time.Duration
	// MaxShare bounds one organisation's share of one cache, 0 to 1.
	MaxShare float64
	// MaxNodes bounds the levels that the table remembers.
	MaxNodes int
	// PredictionLife is how long a decision counts as residency without word
	// from the endpoint; ConfirmedLife is the same for confirmed ones.
	PredictionLife time.Duration
	ConfirmedLife  time.Duration
	// TieMargin is the score difference within which candidates are equal.
	TieMargin time.Duration
}

// Defaults of Params.
const (
	DefaultPrefillTokensPerSecond = 20000
	DefaultDecodeTokenTime        = 25 * time.Millisecond
	DefaultTransferSetup          = 5 * time.Millisecond
	DefaultMaxRunning             = 16
	DefaultCacheTokens            = 23000 * prefix.BlockTokens
	DefaultCrossingCost           = 1500 * time.Microsecond
	DefaultCacheHorizon           = 10 * time.Second
	DefaultHeatHalfLife           = 5 * time.Second
	DefaultWidenWait              = 60 * time.Millisecond
	DefaultNarrowWait             = 15 * time.Millisecond
	DefaultNarrowHold             = 10 * time.Second
	DefaultWidenHold              = 250 * time.Millisecond
	DefaultMaxShare               = 0.5
	DefaultMaxNodes               = 16384
	DefaultPredictionLife         = 30 * time.Second
	DefaultConfirmedLife          = 2 * time.Minute
	DefaultTieMargin              = 2 * time.Millisecond
)

// ParamsOf takes what an endpoint's settings say of its engine; the group's
// engines are alike.
func ParamsOf(s *settings.Endpoint) Params {
	return Params{
		PrefillTokensPerSecond: s.PrefillTokensPerSecond,
		DecodeTokenTime:        s.DecodeTokenTime.D(),
		MaxRunning:             s.MaxRunning,
		SmallReserve:           s.SmallReserve,
		CacheTokens:            s.CacheTokens,

		TransferTokensPerSecond: s.TransferTokensPerSecond,
	}
}

func (p Params) withDefaults() Params {
	setDefault(&p.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	setDefault(&p.DecodeTokenTime, DefaultDecodeTokenTime)
	setDefault(&p.TransferSetup, DefaultTransferSetup)
	setDefault(&p.MaxRunning, DefaultMaxRunning)
	setDefault(&p.CacheTokens, DefaultCacheTokens)
	setDefault(&p.CrossingCost, DefaultCrossingCost)
	setDefault(&p.CacheHorizon, DefaultCacheHorizon)
	setDefault(&p.HeatHalfLife, DefaultHeatHalfLife)
	setDefault(&p.WidenWait, DefaultWidenWait)
	setDefault(&p.NarrowWait, DefaultNarrowWait)
	setDefault(&p.NarrowHold, DefaultNarrowHold)
	setDefault(&p.WidenHold, DefaultWidenHold)
	setDefault(&p.MaxShare, DefaultMaxShare)
	setDefault(&p.MaxNodes, DefaultMaxNodes)
	setDefault(&p.PredictionLife, DefaultPredictionLife)
	setDefault(&p.ConfirmedLife, DefaultConfirmedLife)
	setDefault(&p.TieMargin, DefaultTieMargin)
	return p
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
