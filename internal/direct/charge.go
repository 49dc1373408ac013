package direct

import (
	"log/slog"
	"net/http"
	"time"

	"skylarklead/internal/quota"
)

// keptFor is how long units that a request has withdrawn are kept for it: it takes some of
// the time within which they must be spent to reach a replica.
const keptFor = quota.DefaultSpendWithin / 2

// charge is what a request has taken of its organisation's limit.
type charge struct {
	units float64
	// own are units of this entry's part, borrowed those of others.
	own      float64
	borrowed []borrowed
	// at is when they were withdrawn, on the boot clock.
	at time.Duration
	// spent units went with a request to a replica.
	spent bool
}

// borrowed are units of a lender.
type borrowed struct {
	lender string
	seq    uint64
	units  float64
}

// charging is what a request's line tells of its charges: the entries asked for units, those of
// them that were silent, whether nobody that might have units is heard, who lent last, for how
// long, and how often it was charged.
type charging struct {
	units    float64
	asked    int
	silent   int
	unheard  bool
	took     time.Duration
	lender   string
	wait     time.Duration
	attempts int
}

// limited reports whether the request counts towards a limit.
func (j *request) limited() bool {
	return j.organisation != nil && j.organisation.Quota.Limited()
}

// reserve withdraws the request's units unless it has them and they may still be spent. It
// reports false if the organisation's limit has no room now.
func (j *request) reserve() bool {
	if !j.limited() {
		return true
	}
	q := j.entry.quotas
	if c := j.charge; c != nil && !c.spent && j.entry.bootClock()-c.at <= keptFor {
		return true
	}
	j.release()
	began := j.entry.bootClock()
	c := &charge{units: j.organisation.Quota.Units(&j.params), at: began}
	ok := j.withdraw(c)
	j.charging.units = c.units
	j.charging.attempts++
	j.charging.took += j.entry.bootClock() - began
	if !ok {
		q.giveBack(j.organisation.Name, c)
		return false
	}
	j.charge = c
	return true
}

// withdraw takes units of this entry's part, or else of others'.
func (j *request) withdraw(c *charge) bool {
	q, name := j.entry.quotas, j.organisation.Name
	if q.take(name, c.units) {
		c.own = c.units
		return true
	}
	left := c.units
	lenders, reached := q.lenders(name, left)
	j.charging.unheard = !reached
	for _, lender := range lenders {
		j.charging.asked++
		seq, lent, answered := q.borrow(j.ctx, name, lender, left)
		if !answered {
			j.charging.silent++
			j.charging.unheard = j.charging.silent == j.charging.asked
		}
		if lent > 0 {
			j.charging.lender = lender
			c.borrowed = append(c.borrowed, borrowed{lender, seq, lent})
			left -= lent
		}
		if left <= 0 {
			return true
		}
		if j.ctx.Err() != nil {
			return false
		}
	}
	if len(c.borrowed) > 0 && q.take(name, left) {
		c.own = left
		return true
	}
	return false
}

// release gives back what the request has withdrawn and not spent.
func (j *request) release() {
	if c := j.charge; c != nil && !c.spent {
		j.entry.quotas.giveBack(j.organisation.Name, c)
	}
	j.charge = nil
}

// spend says that the request goes to a replica.
func (j *request) spend() {
	if j.charge != nil {
		j.charge.spent = true
	}
}

// unspend says that the replica has not run it.
func (j *request) unspend() {
	if j.charge != nil {
		j.charge.spent = false
	}
}

// overLimit answers a request that its organisation's limit has no room for.
func (j *request) overLimit() {
	switch {
	case j.ctx.Err() != nil:
		j.ended()
	case j.first > 0:
		j.cut("organisation's limit")
	case j.failure != nil:
		j.pass(j.failure)
	case j.forward.MayHaveRun():
		j.fail(http.StatusBadGateway, "organisation's limit", 0)
	case j.charging.unheard:
		j.entry.tel.Metrics.Count("quota_unheard", 1)
		j.refuse("no entry that has units of the organisation's limit answers", defaultRetryAfter)
	default:
		j.entry.tel.Metrics.Count("quota_refused", 1)
		j.charging.wait = j.entry.quotas.refused(j.organisation.Name, j.charging.units)
		j.outcome = outcomeRefused
		j.reply(http.StatusTooManyRequests, "organisation's limit", j.charging.wait)
	}
}

// quotaAttr renders what the request took of its organisation's limit.
func (j *request) quotaAttr() slog.Attr {
	c := &j.charging
	fields := []any{slog.Float64("units", c.units)}
	if s, ok := j.entry.quotas.state(j.organisation.Name); ok {
		fields = append(fields, slog.Float64("rate", s.Rate), slog.Float64("burst", s.Burst), slog.Float64("part", s.Share),
			slog.Float64("left", round(s.Level)), slog.Bool("list_too_old", s.Stale))
	}
	if c.asked > 0 {
		fields = append(fields, slog.Int("asked", c.asked), slog.Int("silent", c.silent), slog.String("lender", c.lender),
			slog.Float64("took_ms", ms(c.took)))
	}
	if c.wait > 0 {
		fields = append(fields, slog.Int64("retry_after_ms", c.wait.Milliseconds()))
	}
	if c.attempts > 1 {
		fields = append(fields, slog.Int("charged", c.attempts))
	}
	return slog.Group("quota", fields...)
}

// take withdraws units of this entry's part.
func (q *quotas) take(organisation string, units float64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.ledger.HasLimit(organisation) || q.ledger.Take(organisation, units, q.entry.bootClock())
}

// lenders lists the entries to ask for units. reached is false if all that might have some are
// silent.
func (q *quotas) lenders(organisation string, units float64) (list []string, reached bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.entry.bootClock()
	answers := func(id string) bool { return now >= q.silent[id] }
	return q.ledger.Lenders(organisation, units, answers, now), q.ledger.OwnerReachable(organisation, answers, now)
}

// giveBack returns the units of a charge that were not spent to where they came from.
func (q *quotas) giveBack(organisation string, c *charge) {
	if c.own > 0 {
		q.mu.Lock()
		q.ledger.Refund(organisation, c.own, c.at, q.entry.bootClock())
		q.mu.Unlock()
	}
	for _, b := range c.borrowed {
		if to, ok := q.entry.peers.address(b.lender); ok {
			q.send(&quotaMessage{Kind: quotaReturn, Seq: b.seq, Organisation: organisation, Units: b.units}, to)
		}
	}
	c.own, c.borrowed = 0, nil
}

// refused counts refused units; it returns when the limit has room for them.
func (q *quotas) refused(organisation string, units float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.RecordRefusal(organisation, units, q.entry.bootClock())
}

func (q *quotas) state(organisation string) (quota.State, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.State(organisation, q.entry.bootClock())
}
