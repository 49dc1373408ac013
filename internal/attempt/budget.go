package attempt

import (
	"maps"
	"math"
	"time"
)

// ExtraKind says why work is sent a second time.
type ExtraKind uint8

// The kinds of extra work, which share one budget.
const (
	ExtraRetry ExtraKind = iota
	ExtraHedge
	ExtraResend
	// ExtraContinuation is a run that goes on from a copy of its memory. It saves work that has been
	// done and that nothing else can save, so it may also draw on what the others left unused.
	ExtraContinuation
	extraKinds
)

// BudgetParams configures a Budget.
type BudgetParams struct {
	// Share is the extra work allowed per request, 0 to 1.
	Share float64
	// MinPerSecond is the extra work per second allowed regardless of traffic.
	MinPerSecond float64
	// Burst bounds the unused extra work that accumulates.
	Burst float64
	// CarryOver is the time constant with which the share that is left unused beyond Burst
	// decays; continuations may draw on it meanwhile. 0 keeps none.
	CarryOver time.Duration
	// SaturationHold is how long an organisation gets no extra work after its requests
	// were refused for lack of capacity.
	SaturationHold time.Duration
}

// DefaultBudgetParams is the default configuration. With 410 entries the minimum rates
// add up to 41 extra requests a second, 3 % of a peak of 1,300.
var DefaultBudgetParams = BudgetParams{Share: 0.2, MinPerSecond: 0.1, Burst: 10, SaturationHold: 2 * time.Second}

// Budget is a retry budget: it limits retries, hedges and re-sends together to a share
// of recent requests, so that failures with a common cause don't multiply the load.
// Over any time t with n requests it allows at most Burst + Share*n + MinPerSecond*t, and to
// continuations Share times the requests of about the CarryOver before.
type Budget struct {
	params     BudgetParams
	tokens     float64
	refilledAt time.Duration
	// carried is the unused share as of carriedAt.
	carried        float64
	carriedAt      time.Duration
	suspendedUntil map[string]time.Duration // by organisation
	spent          [extraKinds]uint64
	refused        uint64
}

// NewBudget returns a full budget.
func NewBudget(p BudgetParams) *Budget {
	return &Budget{params: p, tokens: p.Burst, suspendedUntil: make(map[string]time.Duration)}
}

// Empty takes what has accumulated: a process that restarts doesn't know what was spent before.
func (b *Budget) Empty() { b.tokens, b.carried = 0, 0 }

// Resize changes the bounds, for example when the number of processes
// that share the budget changes.
func (b *Budget) Resize(share, burst float64, carryOver time.Duration) {
	b.params.Share, b.params.Burst, b.params.CarryOver = share, burst, carryOver
	b.tokens = min(b.tokens, burst)
}

// RecordRequest credits the budget for one caller request.
func (b *Budget) RecordRequest(now time.Duration) {
	b.refill(now)
	b.carry(now)
	if b.params.CarryOver > 0 {
		b.carried += max(0, b.tokens+b.params.Share-b.params.Burst)
	}
	b.tokens = min(b.tokens+b.params.Share, b.params.Burst)
}

// carry lets the unused share decay.
func (b *Budget) carry(now time.Duration) {
	if b.params.CarryOver > 0 && now > b.carriedAt {
		b.carried *= math.Exp(-float64(now-b.carriedAt) / float64(b.params.CarryOver))
		b.carriedAt = now
	}
}

// Allow charges one piece of extra work of an organisation to the budget. It returns
// false, and charges nothing, if the budget doesn't allow it.
func (b *Budget) Allow(kind ExtraKind, organisation string, now time.Duration) bool {
	b.refill(now)
	if b.Suspended(organisation, now) || !b.spend(kind, now) {
		b.refused++
		return false
	}
	b.spent[kind]++
	return true
}

// spend takes one token if there is one for this kind of work.
func (b *Budget) spend(kind ExtraKind, now time.Duration) bool {
	if kind == ExtraContinuation {
		if b.carry(now); b.carried >= 1 {
			b.carried--
			return true
		}
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// maxSuspended bounds the organisations in suspendedUntil.
const maxSuspended = 4096

// RecordSaturation records that an organisation's work was refused for lack of
// capacity. Its extra work would only displace its first attempts, so it gets none for
// SaturationHold. Other organisations aren't affected: otherwise a small organisation
// whose engine has crashed would be refused a retry because a large one exceeds its
// share.
func (b *Budget) RecordSaturation(organisation string, now time.Duration) {
	if len(b.suspendedUntil) >= maxSuspended {
		maps.DeleteFunc(b.suspendedUntil, func(_ string, until time.Duration) bool { return until <= now })
	}
	if len(b.suspendedUntil) < maxSuspended {
		b.suspendedUntil[organisation] = now + b.params.SaturationHold
	}
}

// Suspended reports whether an organisation gets no extra work at present.
func (b *Budget) Suspended(organisation string, now time.Duration) bool {
	return now < b.suspendedUntil[organisation]
}

// Spent returns how much extra work of a kind was allowed.
func (b *Budget) Spent(kind ExtraKind) uint64 { return b.spent[kind] }

// Refused returns how often Allow returned false.
func (b *Budget) Refused() uint64 { return b.refused }

func (b *Budget) refill(now time.Duration) {
	if now > b.refilledAt {
		b.tokens = min(b.tokens+b.params.MinPerSecond*(now-b.refilledAt).Seconds(), b.params.Burst)
		b.refilledAt = now
	}
}
