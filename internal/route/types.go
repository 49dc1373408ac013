package route

import (
	"time"

	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
)

// MaxCandidates bounds the candidates listed in a Result.
const MaxCandidates = 8

// Query is a request to be placed.
type Query struct {
	protocol.Ask
	// Suspect marks a request that was running when an engine crashed. It is placed where the
	// least work would be lost if it crashes that engine too.
	Suspect bool
	// Poison marks a request that has crashed too many engines; it is refused.
	Poison bool
}

// Endpoint is one endpoint in the owner's membership view.
type Endpoint struct {
	ID            string
	Epoch         protocol.Epoch
	FailureDomain string
	Alive         bool
	Leaving       bool
	// Load is the last load summary and LoadAge its age. While HasLoad is false there is no
	// summary yet: the endpoint counts as idle and its engine as up.
	Load    protocol.Load
	LoadAge time.Duration
	HasLoad bool
}

// Result is a decision: an executor, or a refusal if Refusal is set.
type Result struct {
	Executor        string
	Epoch           protocol.Epoch
	Reason          string
	PredictedCached int
	Suspect         bool
	// Donor is the endpoint from which the executor imports the prefix, nil for none.
	Donor *protocol.Donor
	// Candidates lists the executor first, then the next best endpoints, then excluded ones, at
	// most MaxCandidates in all.
	Candidates []protocol.Candidate
	Refusal    *protocol.Refusal
}

// Outcome reports how a placed request ended at its executor.
type Outcome struct {
	Endpoint     string
	Epoch        protocol.Epoch
	Organisation string
	Levels       []prefix.Level
	// CachedTokens and PromptTokens are the counts that the engine reported.
	CachedTokens int
	PromptTokens int
	// Ran is false if the engine never received the request. Nothing can then be concluded about
	// its cache.
	Ran bool
}

// Advertisement is an endpoint's report of the prefixes resident in its engine's cache, taken
// from a heartbeat that the membership view has accepted.
type Advertisement struct {
	Endpoint    string
	Epoch       protocol.Epoch
	Incarnation string
	Version     string
	Residents   []protocol.Resident
	// Full marks a complete list: levels not in Residents are not resident.
	Full bool
}

// Params are the constants of the cost model. Zero fields take the defaults.
type Params struct {
	// PrefillTokensPerSecond and DecodeTokenTime are the engines' speeds, MaxRunning the number
	// of requests that an endpoint runs at once.
	PrefillTokensPerSecond float64
	DecodeTokenTime        time.Duration
	MaxRunning             int
	// TransferTokensPerSecond is the speed of cache export and import together, 0 if there is no
	// transfer. TransferSetup is the fixed cost of a transfer.
	TransferTokensPerSecond float64
	TransferSetup           time.Duration
	// SmallReserve is the fraction of MaxRunning that admission reserves for organisations with
	// little load, 0 to 1.
	SmallReserve float64
	// CacheTokens is the cache size of an engine whose load summary does not state it.
	CacheTokens int
	// CrossDomainDelay is the one-way network delay between failure domains.
	CrossDomainDelay time.Duration
	// CacheHorizon is how long a block stays useful once stored. A new copy must pay off within
	// it, and the cost of an eviction is the hits that the block would have had in that time.
	CacheHorizon time.Duration
	// HeatHalfLife is the half-life of the request and work rates.
	HeatHalfLife time.Duration
	// WidenWait and NarrowWait are the two thresholds on the wait at the best holder of a prefix:
	// above WidenWait a holder may be added, below NarrowWait for NarrowHold one may be dropped.
	WidenWait  time.Duration
	NarrowWait time.Duration
	NarrowHold time.Duration
	// WidenHold is the least time between two additions of a holder for one prefix.
	WidenHold time.Duration
	// MaxShare bounds the fraction of one cache that one organisation may use, 0 to 1.
	MaxShare float64
	// MaxLevels bounds the levels in the table.
	MaxLevels int
	// PredictionTTL is how long a level counts as resident after a decision that no report has
	// confirmed, ConfirmedTTL how long a confirmed one does.
	PredictionTTL time.Duration
	ConfirmedTTL  time.Duration
	// TieMargin is the score difference within which candidates count as equal.
	TieMargin time.Duration
}

// Defaults of Params.
const (
	DefaultPrefillTokensPerSecond = 20000
	DefaultDecodeTokenTime        = 25 * time.Millisecond
	DefaultTransferSetup          = 5 * time.Millisecond
	DefaultMaxRunning             = 16
	DefaultCacheTokens            = 23000 * prefix.BlockTokens
	DefaultCrossDomainDelay       = 1500 * time.Microsecond
	DefaultCacheHorizon           = 10 * time.Second
	DefaultHeatHalfLife           = 5 * time.Second
	DefaultWidenWait              = 60 * time.Millisecond
	DefaultNarrowWait             = 15 * time.Millisecond
	DefaultNarrowHold             = 10 * time.Second
	DefaultWidenHold              = 250 * time.Millisecond
	DefaultMaxShare               = 0.5
	DefaultMaxLevels              = 16384
	DefaultPredictionTTL          = 30 * time.Second
	DefaultConfirmedTTL           = 2 * time.Minute
	DefaultTieMargin              = 2 * time.Millisecond
)

// ParamsOf returns the parameters given by an endpoint's settings. All engines of a group are
// assumed to be alike.
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
	setDefault(&p.CrossDomainDelay, DefaultCrossDomainDelay)
	setDefault(&p.CacheHorizon, DefaultCacheHorizon)
	setDefault(&p.HeatHalfLife, DefaultHeatHalfLife)
	setDefault(&p.WidenWait, DefaultWidenWait)
	setDefault(&p.NarrowWait, DefaultNarrowWait)
	setDefault(&p.NarrowHold, DefaultNarrowHold)
	setDefault(&p.WidenHold, DefaultWidenHold)
	setDefault(&p.MaxShare, DefaultMaxShare)
	setDefault(&p.MaxLevels, DefaultMaxLevels)
	setDefault(&p.PredictionTTL, DefaultPredictionTTL)
	setDefault(&p.ConfirmedTTL, DefaultConfirmedTTL)
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
