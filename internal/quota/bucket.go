package quota

import "time"

// bucket is an entry's part of a limit.
type bucket struct {
	// rate is in units a second, most is what can be saved up.
	rate, most float64
	level      float64
	at         time.Duration
	// staleAt is from when on the list of entries is too old for the whole rate.
	staleAt time.Duration
}

// refill adds what has come in up to now.
func (b *bucket) refill(now time.Duration) {
	if now <= b.at {
		return
	}
	fresh := max(0, min(now, b.staleAt)-b.at)
	stale := now - b.at - fresh
	b.level = min(b.most, b.level+b.rate*(fresh.Seconds()+staleRate*stale.Seconds()))
	b.at = now
}

// resize takes another rate and size, which hold from now on.
func (b *bucket) resize(rate, most float64, now time.Duration) {
	b.refill(now)
	b.rate, b.most = rate, most
	b.level = min(b.level, most)
}

// take withdraws units if there are enough.
func (b *bucket) take(units float64, now time.Duration) bool {
	b.refill(now)
	if b.level < units {
		return false
	}
	b.level -= units
	return true
}

// give takes withdrawn units back.
func (b *bucket) give(units float64, now time.Duration) {
	b.refill(now)
	b.level = min(b.most, b.level+units)
}
