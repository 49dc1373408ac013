package admit

import (
	"math"
	"time"

	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
)

// ID names an item: its attempt.
type ID = protocol.AttemptID

// Item is a request that wants to run.
type Item struct {
	ID           ID
	Organisation string
	// Weight is the organisation's share in the fair queue, 1 if 0.
	Weight float64
	// BacklogsElsewhere is how many other endpoints of the group have a backlog of the
	// organisation. Its weight is shared out among all of them.
	BacklogsElsewhere int
	// MaxInFlight bounds the organisation's items here, waiting and running; 0
	// is no bound.
	MaxInFlight int
	// Priority orders items of one organisation, lower is sooner.
	Priority int
	// UncachedTokens is the part of the prompt that the engine must compute.
	UncachedTokens int
	// MaxTokens bounds the output; ExpectedTokens is its expected length, taken
	// from the organisation's recent outputs if 0.
	MaxTokens      int
	ExpectedTokens int
	// Deadline is when the caller stops waiting, on the clock of now; 0 is none.
	Deadline time.Duration
	// Exclusive items run alone: they are suspected of crashing the engine.
	Exclusive bool
}

// Actual is what an item turned out to use.
type Actual struct {
	UncachedTokens int
	OutputTokens   int
	// Ran is false when the engine never had it; its cost is then given back.
	Ran bool
}

// Action is what the caller of a Core must do: Start or Refuse.
type Action interface{ action() }

// Start hands an item to the engine.
type Start struct {
	ID ID
	// Waited is the time since it arrived.
	Waited time.Duration
	// Reason is why it could start, for the decision's log line.
	Reason string
	// EnginePriority is the priority to hand it to the engine with, lower is
	// sooner. It is by the organisation's use, not by what the caller wished: a
	// caller's priority orders its own organisation's items only.
	EnginePriority int
}

// Engine priorities of organisations within and over their share.
const (
	PriorityLight = 0
	PriorityHeavy = 1
)

// Refuse ends an item that has not run and will not.
type Refuse struct {
	ID         ID
	Code       protocol.Code
	RetryAfter time.Duration
	Reason     string
}

func (Start) action()  {}
func (Refuse) action() {}

// Params are the bounds and speeds of one endpoint. Zero fields take defaults.
type Params struct {
	MaxRunning int
	MaxQueue   int
	// SmallReserve is the share of running places and of the queue kept for
	// organisations that use less than their share, 0 to 1. The reserved places
	// stay empty while only others wait: that is its price.
	SmallReserve float64
	// PrefillTokensPerSecond and DecodeTokenTime turn tokens into engine time.
	PrefillTokensPerSecond float64
	DecodeTokenTime        time.Duration
	// FirstTokenTarget bounds the expected time to first token of an organisation
	// with a standing backlog.
	FirstTokenTarget time.Duration
	// MaxWait bounds the expected wait of an item without a deadline.
	MaxWait time.Duration
	// KVTokens bounds the tokens that running items may take, prompts and longest
	// outputs together; 0 leaves it to MaxRunning.
	KVTokens int
}

// Defaults of Params.
const (
	DefaultMaxRunning             = 16
	DefaultMaxQueue               = 256
	DefaultPrefillTokensPerSecond = 20000
	DefaultDecodeTokenTime        = 25 * time.Millisecond
	DefaultFirstTokenTarget       = 880 * time.Millisecond
	DefaultMaxWait                = 30 * time.Second
)

// ParamsFromSettings takes an endpoint's settings.
func ParamsFromSettings(s *settings.Endpoint) Params {
	return Params{
		MaxRunning:             s.MaxRunning,
		MaxQueue:               s.MaxQueue,
		SmallReserve:           s.SmallReserve,
		FirstTokenTarget:       s.FirstTokenTarget.D(),
		PrefillTokensPerSecond: s.PrefillTokensPerSecond,
		DecodeTokenTime:        s.DecodeTokenTime.D(),
	}
}

func (p Params) withDefaults() Params {
	if p.MaxRunning <= 0 {
		p.MaxRunning = DefaultMaxRunning
	}
	if p.MaxQueue <= 0 {
		p.MaxQueue = DefaultMaxQueue
	}
	if p.PrefillTokensPerSecond <= 0 {
		p.PrefillTokensPerSecond = DefaultPrefillTokensPerSecond
	}
	if p.DecodeTokenTime <= 0 {
		p.DecodeTokenTime = DefaultDecodeTokenTime
	}
	if p.FirstTokenTarget <= 0 {
		p.FirstTokenTarget = DefaultFirstTokenTarget
	}
	if p.MaxWait <= 0 {
		p.MaxWait = DefaultMaxWait
	}
	p.SmallReserve = min(1, max(0, p.SmallReserve))
	return p
}

// reserved is the number of places kept for organisations that use little.
func (p *Params) reserved() int {
	return min(p.MaxRunning-1, int(math.Ceil(p.SmallReserve*float64(p.MaxRunning))))
}

// queueShare is how many items one organisation may have waiting.
func (p *Params) queueShare() int {
	return max(1, int(math.Floor((1-p.SmallReserve)*float64(p.MaxQueue))))
}

// cost is engine time in milliseconds.
func (p *Params) cost(uncached, output int) float64 {
	return p.prefill(uncached) + float64(output)*ms(p.DecodeTokenTime)
}

func (p *Params) prefill(uncached int) float64 {
	return float64(uncached) / p.PrefillTokensPerSecond * 1000
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
