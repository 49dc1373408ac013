package quota

import (
	"time"

	"skylarklead/internal/fleet"
)

// Params size the shares of a quota. Times are on a steady clock that counts suspension.
type Params struct {
	// Window is the time over which the operator counts usage. Within it a quota may be
	// exceeded by the fraction Excess, 0 or more, and by Slack units. Window is 0 if nothing
	// may be exceeded.
	Window time.Duration
	Excess float64
	Slack  float64
	// SpendWithin is how long units may be held between their withdrawal and the sending
	// of the request, and until when they may be returned.
	SpendWithin time.Duration
	// MaxListAge is how old the list of entries may be. An entry has no share until it
	// has been listed for that long, and half a share while its list is older.
	MaxListAge time.Duration
}

const (
	// DefaultSpendWithin covers a loan request to another entry and the dispatch.
	DefaultSpendWithin = 300 * time.Millisecond
	// DefaultMaxListAge covers several reads of the list of entries.
	DefaultMaxListAge = 6 * time.Second
)

const (
	// evenFraction is the fraction of a large quota that is divided evenly among all entries:
	// what entries without peers can serve. The quota's owners hold the rest.
	evenFraction = 0.33
	// minEvenRate is the least rate of an entry's even share, in large requests a second;
	// a smaller share would be idle, as no request fits.
	minEvenRate = 0.2
	// ratePerOwner is the rate of one owner, in large requests a second, and minOwners the
	// least number of owners, so that after single losses more is left than is usually asked.
	ratePerOwner = 6
	minOwners    = 4
	// burstFraction and slackFraction are the fractions of a quota's burst and of Slack that
	// may accumulate. The rest of the burst comes in as rate, over the operator's window.
	burstFraction = 0.5
	slackFraction = 0.5
	// minBurstSeconds is the least time for which a quota's rate may accumulate, in seconds:
	// otherwise a quota with a burst of 0 would never admit a request.
	minBurstSeconds = 0.1
	// listMargin and listSlack are the fractions of the window's bound and of Slack that cover
	// entries with different lists.
	listMargin = 0.02
	listSlack  = 0.25
)

// largeRequestTokens is the size of a large request, one with a long prompt, in tokens.
const largeRequestTokens = 10_000

// largeRequest is the size of a large request in the unit of a quota; a quota in requests counts one.
func largeRequest(q *fleet.Quota) float64 {
	if q.Tokens {
		return largeRequestTokens
	}
	return 1
}

// capacity is how many units of a quota may accumulate, over all entries.
func (p *Params) capacity(q *fleet.Quota) float64 {
	if p.Window <= 0 {
		return max(q.Burst, minBurstSeconds*q.Rate, 1)
	}
	return max(burstFraction*q.Burst, minBurstSeconds*q.Rate) + slackFraction*p.Slack
}

// rate is how many units come in a second, over all entries: all that a window allows except
// what may have accumulated before it. Units may be sent SpendWithin after their withdrawal,
// so a window covers the withdrawals of a longer time.
func (p *Params) rate(q *fleet.Quota) float64 {
	if p.Window <= 0 {
		return q.Rate
	}
	within := (1-listMargin)*p.Bound(q, p.Window) - p.capacity(q) - listSlack*p.Slack
	return max(0, within) / (p.Window + p.SpendWithin).Seconds()
}

// Bound is the most units that may be spent in a time of any length, over all entries.
func (p *Params) Bound(q *fleet.Quota, length time.Duration) float64 {
	return (q.Rate*length.Seconds()+q.Burst)*(1+p.Excess) + p.Slack
}
