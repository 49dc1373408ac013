package spread

import "time"

// Params time how entries ask each other.
type Params struct {
	// QueryInterval is the pause between questions to a source: what an entry believes is
	// older than its source's belief by as much.
	QueryInterval time.Duration
	// QueryTimeout is how long an answer may take, Tries how many in a row may be missing
	// until the next one is asked: a datagram may be lost.
	QueryTimeout  time.Duration
	MaxUnanswered int
	// BackoffMin and BackoffMax bound for how long one that doesn't answer is not asked.
	BackoffMin, BackoffMax time.Duration
	// OutageQuorum is how many entries must say that they can't reach the store until
	// another believes that it is away from all, and leaves it to its turn to try.
	OutageQuorum int
	// FanIn is how many entries one answers.
	FanIn int
	// FirstProbesPerSecond bounds the first reads of all entries together that believe so,
	// ProbesPerSecond those that follow. The first ones are more: the witnesses may be cut off
	// themselves, and then whoever is answered must be found before anybody's limit.
	FirstProbesPerSecond, ProbesPerSecond float64
	// HintInterval is the pause between hints, HintTTL how long one is followed.
	HintInterval, HintTTL time.Duration
}

// DefaultParams are for links of milliseconds within a region and entries with a tenth of a
// core, which may need some ten milliseconds for an answer.
var DefaultParams = Params{
	QueryInterval: 150 * time.Millisecond, QueryTimeout: 120 * time.Millisecond, MaxUnanswered: 2,
	BackoffMin: 3 * time.Second, BackoffMax: time.Minute,
	OutageQuorum: 3, FanIn: 64, FirstProbesPerSecond: 50, ProbesPerSecond: 20,
	HintInterval: time.Second, HintTTL: 3 * time.Second,
}

// The parts of a topic's limit at which something is done, and what is kept free of a
// promise for it.
const (
	// StaleFraction is from which part of the limit on a source's belief is too old to be used.
	StaleFraction = 0.75
	// takeOverAt is from which part on an entry that has lost its source, and has not heard
	// of all others, reads for itself; the entries are spread from there to the limit. Between
	// StaleAt and this it asks others: they know more, or tell that the store is away.
	takeOverAt = 0.875
	// relieveAt is from which part on an entry that the store answers reads again, while those
	// that should read for it are cut off.
	relieveAt = 0.4
	// healthy is the part that a fleet in order keeps below.
	healthy = 0.7
	// reserve is kept free of a promise for a read of one's own and for a request that is
	// placed right before it.
	reserve = 500 * time.Millisecond
	// minLimit is the least limit that can be kept with calls of milliseconds.
	minLimit = 400 * time.Millisecond
	// minWait is the least time for which a read of the store waits.
	minWait = 100 * time.Millisecond
)

// MaxAge is how old a belief may be at most whose changes must be in force everywhere
// within a time.
func MaxAge(within time.Duration) time.Duration { return max(minLimit, within-reserve) }

// readWait is how long a read of the store waits for a record at most so that nobody's
// belief gets old while all is well: of two reads in a row, with a pause between, the first
// is believed until the second is answered, and each tier asks once in AskEvery.
func (p *Params) readWait(limit, pause time.Duration, tiers int) time.Duration {
	passed := time.Duration(tiers) * (p.QueryInterval + p.QueryTimeout/2)
	wait := (time.Duration(healthy*float64(limit)) - passed - pause) / 2
	return max(minWait, wait)
}
