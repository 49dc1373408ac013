package divide

import "time"

// staleRateFraction is the fraction of its rate that an entry keeps while its list of entries is
// too old: safe as long as the number of entries has not doubled since.
const staleRateFraction = 0.5

// Bucket is a token bucket with an entry's share of a limit.
type Bucket struct {
	// Rate is in units a second, Capacity in units.
	Rate, Capacity float64
	// Level is the number of units as of RefilledAt.
	Level      float64
	RefilledAt time.Duration
	// StaleAt is the time from which on the list of entries is too old for the whole rate.
	StaleAt time.Duration
}

// Refill adds what came in up to now.
func (b *Bucket) Refill(now time.Duration) {
	if now <= b.RefilledAt {
		return
	}
	fresh := max(0, min(now, b.StaleAt)-b.RefilledAt)
	stale := now - b.RefilledAt - fresh
	b.Level = min(b.Capacity, b.Level+b.Rate*(fresh.Seconds()+staleRateFraction*stale.Seconds()))
	b.RefilledAt = now
}

// Resize sets the rate and the capacity, which hold from now on.
func (b *Bucket) Resize(rate, most float64, now time.Duration) {
	b.Refill(now)
	b.Rate, b.Capacity = rate, most
	b.Level = min(b.Level, most)
}

// Take withdraws units if there are enough.
func (b *Bucket) Take(units float64, now time.Duration) bool {
	b.Refill(now)
	if b.Level < units {
		return false
	}
	b.Level -= units
	return true
}

// Refund puts withdrawn units back.
func (b *Bucket) Refund(units float64, now time.Duration) {
	b.Refill(now)
	b.Level = min(b.Capacity, b.Level+units)
}
