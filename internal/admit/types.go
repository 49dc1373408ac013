package admit

import (
	"math"
	"time"

	"skylarklead/internal/protocol"
	"skylarklead/internal/settings"
)

// ID identifies an item: its attempt.
type ID = protocol.AttemptID

// Item is a request that wants to run.
type Item struct {
	ID           ID
	Organisation string
	// Weight is the organisation's weight in the fair queue, 1 if 0.
	Weight float64
	// BacklogsElsewhere is how many other endpoints of the group have a backlog of the
	// organisation. Its weight is divided among all of them.
	BacklogsElsewhere int
	// MaxInFlight bounds the organisation's items at this endpoint, waiting and
	// running; 0 is no bound.
	MaxInFlight int
	// Priority orders the items of one organisation; lower starts sooner.
	Priority int
	// UncachedTokens is the number of prompt tokens that the engine has to compute.
	UncachedTokens int
	// MaxTokens bounds the output. ExpectedTokens is its expected length; if 0, it is
	// estimated from the organisation's recent outputs.
	MaxTokens      int
	ExpectedTokens int
	// Deadline is when the caller stops waiting, on the same clock as now; 0 is none.
	Deadline time.Duration
	// Exclusive items run without any other item beside them: they are suspected of
	// crashing the engine.
	Exclusive bool
}

// Actual is what an item actually used.
type Actual struct {
	UncachedTokens int
	OutputTokens   int
	// Ran is false if the engine never received the item; the cost charged for it is
	// then refunded.
	Ran bool
}

// Action is an instruction from a Core to its caller: Start or Refuse.
type Action interface{ action() }

// Start says to send an item to the engine.
type Start struct {
	ID ID
	// Waited is the time since the item arrived.
	Waited time.Duration
	// Reason is why the item could start, for the log line of the decision.
	Reason string
	// EnginePriority is the priority to pass to the engine; lower is sooner. It
	// depends on the organisation's use of the endpoint, not on the caller's priority,
	// which only orders the items of its own organisation.
	EnginePriority int
}

// Engine priorities of organisations within and over their share.
const (
	PriorityWithinShare = 0
	PriorityOverShare   = 1
)

// Refuse ends an item that has not run and will not run.
type Refuse struct {
	ID         ID
	Code       protocol.Code
	RetryAfter time.Duration
	Reason     string
}

func (Start) action()  {}
func (Refuse) action() {}

// Params are the limits and speeds of one endpoint. Zero fields take defaults.
type Params struct {
	MaxRunning int
	MaxQueue   int
	// SmallReserve is the fraction of the running slots and of the queue that is
	// reserved for organisations that use less than their share, 0 to 1. Reserved
	// slots stay empty while only other organisations have items waiting.
	SmallReserve float64
	// PrefillTokensPerSecond and DecodeTokenTime convert tokens into engine time.
	PrefillTokensPerSecond float64
	DecodeTokenTime        time.Duration
	// FirstTokenTarget bounds the expected time to first token of an organisation with
	// a standing backlog.
	FirstTokenTarget time.Duration
	// MaxWait bounds the expected wait of an item without a deadline.
	MaxWait time.Duration
	// KVTokens bounds the tokens of the running items, counting their prompts and
	// their longest possible outputs; 0 is no bound besides MaxRunning.
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

// ParamsFromSettings returns the parameters for an endpoint's settings.
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

// reservedSlots is the number of slots reserved for organisations within their share.
func (p *Params) reservedSlots() int {
	return min(p.MaxRunning-1, int(math.Ceil(p.SmallReserve*float64(p.MaxRunning))))
}

// maxQueuedPerOrganisation bounds the waiting items of one organisation.
func (p *Params) maxQueuedPerOrganisation() int {
	return max(1, int(math.Floor((1-p.SmallReserve)*float64(p.MaxQueue))))
}

// cost is the engine time of an item in milliseconds.
func (p *Params) cost(uncached, output int) float64 {
	return p.prefillMs(uncached) + float64(output)*ms(p.DecodeTokenTime)
}

func (p *Params) prefillMs(uncached int) float64 {
	return float64(uncached) / p.PrefillTokensPerSecond * 1000
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
