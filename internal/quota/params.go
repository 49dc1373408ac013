package quota

import (
	"time"

	"skylarklead/internal/fleet"
)

// Params size the parts of a limit. Times are on a steady clock that counts suspension.
type Params struct {
	// Window is the time over which the operator counts what ran. Over it a limit may be
	// exceeded by the part Excess, 0 or more, and by Slack units. Window is 0 where nothing
	// may be exceeded.
	Window time.Duration
	Excess float64
	Slack  float64
	// SpendWithin is how long units may be kept from their withdrawal until the request
	// is sent, and until which they may be given back.
	SpendWithin time.Duration
	// MaxListAge is how old the list of entries may be. An entry has no part until it
	// has been listed for as long, and half a part while what it knows is older.
	MaxListAge time.Duration
}

const (
	// DefaultSpendWithin covers a question to another entry and a hand-over.
	DefaultSpendWithin = 300 * time.Millisecond
	// DefaultMaxListAge covers several reads of the list of entries.
	DefaultMaxListAge = 6 * time.Second
)

const (
	// dividedPart is the part of a large limit that all entries share evenly: what an
	// entry without peers can serve. The rest is with the limit's homes.
	dividedPart = 0.33
	// leastDivided is the least rate of an entry's even part, in large requests a second;
	// a smaller part would be idle, as no request fits.
	leastDivided = 0.2
	// perHome is the rate of one home, in large requests a second, and leastHomes how
	// many there are at least, so that single losses leave more than is usually asked.
	perHome    = 6
	leastHomes = 4
	// savedBurst and savedSlack are the parts of a limit's burst and of Slack that may be
	// saved up. The rest of the burst comes in as rate, over the operator's window.
	savedBurst = 0.5
	savedSlack = 0.5
	// leastSaved is the time for which a limit's rate may be saved up at least, in seconds:
	// nothing larger than a burst of 0 would ever be served.
	leastSaved = 0.1
	// begun is the part of Slack that entries start with after a restart.
	begun = 0.25
	// spare is the part of what the window allows that covers entries with different lists.
	spare = 0.02
)

// largeTokens is a large request in tokens: a long prompt. A limit in requests counts one.
const largeTokens = 10_000

// large is the size of a large request in the unit of a limit.
func large(q *fleet.Quota) float64 {
	if q.Tokens {
		return largeTokens
	}
	return 1
}

// most is what may be saved up of a limit, over all entries.
func (p *Params) most(q *fleet.Quota) float64 {
	if p.Window <= 0 {
		return max(q.Burst, leastSaved*q.Rate, 1)
	}
	return max(savedBurst*q.Burst, leastSaved*q.Rate) + savedSlack*p.Slack
}

// rate is what comes in a second, over all entries: all that a window allows but for what may
// have been saved up before it. Units may be sent SpendWithin after their withdrawal, so a
// window sees the withdrawals of a longer time.
func (p *Params) rate(q *fleet.Quota) float64 {
	if p.Window <= 0 {
		return q.Rate
	}
	within := (1-spare)*p.Bound(q, p.Window) - p.most(q) - begun*p.Slack
	return max(0, within) / (p.Window + p.SpendWithin).Seconds()
}

// Bound is the most that may be sent and run in a time of any length, over all entries.
func (p *Params) Bound(q *fleet.Quota, length time.Duration) float64 {
	return (q.Rate*length.Seconds()+q.Burst)*(1+p.Excess) + p.Slack
}
