package spread

import "time"

// Params are the times and bounds of queries between entries.
type Params struct {
	// QueryInterval is the pause between queries to an upstream; it adds as much to the
	// age of what the entry knows.
	QueryInterval time.Duration
	// QueryTimeout is how long an answer may take, MaxUnanswered how many queries in a
	// row may go unanswered before the next candidate is queried: a datagram may be lost.
	QueryTimeout  time.Duration
	MaxUnanswered int
	// BackoffMin and BackoffMax bound for how long a peer that doesn't answer isn't queried.
	BackoffMin, BackoffMax time.Duration
	// OutageQuorum is how many peers without fresh data make an entry assume that the
	// store is unavailable to all, so that it waits for its slot to try the store.
	OutageQuorum int
	// FanIn is how many entries one entry answers.
	FanIn int
	// FirstProbesPerSecond bounds the first reads of all entries together that assume
	// an outage, ProbesPerSecond the later ones. The first rate is higher: the peers without fresh
	// data may be cut off themselves, and then an entry that the store answers must be
	// found before any entry's age limit is reached.
	FirstProbesPerSecond, ProbesPerSecond float64
	// HintInterval is the pause between hints, HintTTL how long a hint is followed.
	HintInterval, HintTTL time.Duration
}

// DefaultParams suit links with latencies of milliseconds within a region and entries with a
// tenth of a core, which may need some ten milliseconds to answer.
var DefaultParams = Params{
	QueryInterval: 150 * time.Millisecond, QueryTimeout: 120 * time.Millisecond, MaxUnanswered: 2,
	BackoffMin: 3 * time.Second, BackoffMax: time.Minute,
	OutageQuorum: 3, FanIn: 64, FirstProbesPerSecond: 50, ProbesPerSecond: 20,
	HintInterval: time.Second, HintTTL: 3 * time.Second,
}

// The fractions of a topic's age limit at which something is done, and the time that is
// kept in reserve.
const (
	// StaleFraction is the fraction of the limit from which on an upstream's data is too old to use.
	StaleFraction = 0.75
	// takeOverFraction is the fraction from which on an entry that has lost its upstream, and
	// has not had answers from all other candidates, reads the store; the entries are spread
	// between this and the limit. Between StaleFraction and this one it queries others:
	// they have newer data, or report that the store is unavailable.
	takeOverFraction = 0.875
	// readForPeersFraction is the fraction from which on an entry that the store answers reads
	// again while the entries that should read for it are cut off.
	readForPeersFraction = 0.4
	// healthyFraction is the fraction below which the age stays in a fleet without failures.
	healthyFraction = 0.7
	// reserve is subtracted from the bound that a topic has to keep, for an entry's own read and
	// for a request that is placed right before it.
	reserve = 500 * time.Millisecond
	// minMaxAge is the least age limit that can be kept with calls of milliseconds.
	minMaxAge = 400 * time.Millisecond
	// minReadWait is the least time for which a read of the store waits for a record.
	minReadWait = 100 * time.Millisecond
)

// MaxAge returns the age limit of a topic whose changes must be in force everywhere within a
// time.
func MaxAge(within time.Duration) time.Duration { return max(minMaxAge, within-reserve) }

// readWait returns how long a read of the store may wait for a record so that no entry's data
// becomes stale in a fleet without failures: of two consecutive reads with a pause between, the first
// one counts until the second is answered, and each hop queries once per QueryInterval.
func (p *Params) readWait(maxAge, pause time.Duration, hops int) time.Duration {
	propagation := time.Duration(hops) * (p.QueryInterval + p.QueryTimeout/2)
	wait := (time.Duration(healthyFraction*float64(maxAge)) - propagation - pause) / 2
	return max(minReadWait, wait)
}
