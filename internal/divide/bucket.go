package divide

import "time"

// staleRate is the part of its rate that an entry keeps while its list of entries is too old:
// right as long as the number of entries has not doubled since.
const staleRate = 0.5

// Bucket is an entry's part of a limit.
type Bucket struct {
	// Rate is in units a second, Capacity is what can be saved up.
	Rate, Capacity float64
	// Level is what is saved up as of At.
	Level      float64
	RefilledAt time.Duration
	// StaleAt is from when on the list of entries is too old for the whole rate.
	StaleAt time.Duration
}

// Refill adds what has come in up to now.
func (b *Bucket) Refill(now time.Duration) {
	if now <= b.RefilledAt {
		return
	}
	fresh := max(0, min(now, b.StaleAt)-b.RefilledAt)
	stale := now - b.RefilledAt - fresh
	b.Level = min(b.Capacity, b.Level+b.Rate*(fresh.Seconds()+staleRate*stale.Seconds()))
	b.RefilledAt = now
}

// Resize takes another rate and size, which hold from now on.
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

// Refund takes withdrawn units back.
func (b *Bucket) Refund(units float64, now time.Duration) {
	b.Refill(now)
	b.Level = min(b.Capacity, b.Level+units)
}
