package attempt

import (
	"maps"
	"time"
)

// ExtraKind is why work is sent a second time.
type ExtraKind uint8

// The kinds of extra work, which share one budget.
const (
	ExtraRetry ExtraKind = iota
	ExtraHedge
	ExtraResend
	extraKinds
)

// BudgetParams size a Budget.
type BudgetParams struct {
	// Share is extra work as a share of requests, 0 to 1.
	Share float64
	// MinPerSecond is extra work allowed per second however little traffic there is.
	MinPerSecond float64
	// Burst bounds what can be saved up.
	Burst float64
	// SaturationHold is how long the budget stays off for an organisation after
	// its work was refused for lack of room.
	SaturationHold time.Duration
}

// DefaultBudgetParams keep 410 entries' floors together at 41 extra requests a
// second, 3 % of a peak of 1,300.
var DefaultBudgetParams = BudgetParams{Share: 0.2, MinPerSecond: 0.1, Burst: 10, SaturationHold: 2 * time.Second}

// Budget limits retries, hedges and re-sends together to a share of recent
// requests, so that failures of one cause don't multiply into load. Over any
// time t with n requests it allows at most Burst + Share*n + Floor*t.
type Budget struct {
	params   BudgetParams
	tokens   float64
	at       time.Duration
	offUntil map[string]time.Duration // by organisation
	spent    [extraKinds]uint64
	refused  uint64
}

// NewBudget returns a full budget.
func NewBudget(p BudgetParams) *Budget {
	return &Budget{params: p, tokens: p.Burst, offUntil: make(map[string]time.Duration)}
}

// Resize changes the share and what can be saved up, as when others that share the
// budget come or go.
func (b *Budget) Resize(share, burst float64) {
	b.params.Share, b.params.Burst = share, burst
	b.tokens = min(b.tokens, burst)
}

// RecordRequest counts one request of a caller.
func (b *Budget) RecordRequest(now time.Duration) {
	b.refill(now)
	b.tokens = min(b.tokens+b.params.Share, b.params.Burst)
}

// Allow takes one extra piece of an organisation's work out of the budget, or
// refuses it.
func (b *Budget) Allow(kind ExtraKind, organisation string, now time.Duration) bool {
	b.refill(now)
	if b.Suspended(organisation, now) || b.tokens < 1 {
		b.refused++
		return false
	}
	b.tokens--
	b.spent[kind]++
	return true
}

// maxOff bounds the organisations for which the budget is off.
const maxOff = 4096

// RecordSaturation says that an organisation's work was refused for lack of room. Its
// extra work would then only displace its first attempts. Others go on: were the
// budget off for all, a small organisation whose engine has crashed would be
// refused a retry since a large one asks for more than its share.
func (b *Budget) RecordSaturation(organisation string, now time.Duration) {
	if len(b.offUntil) >= maxOff {
		maps.DeleteFunc(b.offUntil, func(_ string, until time.Duration) bool { return until <= now })
	}
	if len(b.offUntil) < maxOff {
		b.offUntil[organisation] = now + b.params.SaturationHold
	}
}

// Suspended reports whether the budget is off for an organisation.
func (b *Budget) Suspended(organisation string, now time.Duration) bool {
	return now < b.offUntil[organisation]
}

// Spent returns how much extra work of a kind was allowed, Refused how much was
// not.
func (b *Budget) Spent(kind ExtraKind) uint64 { return b.spent[kind] }

// Refused returns how often the budget said no.
func (b *Budget) Refused() uint64 { return b.refused }

func (b *Budget) refill(now time.Duration) {
	if now > b.at {
		b.tokens = min(b.tokens+b.params.MinPerSecond*(now-b.at).Seconds(), b.params.Burst)
		b.at = now
	}
}
