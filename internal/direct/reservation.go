package direct

import (
	"log/slog"
	"net/http"
	"time"

	"skylarklead/internal/peermessage"
	"skylarklead/internal/quota"
)

// reservationLifetime is how long reserved units are kept for a request. Units must be spent within
// quota.DefaultSpendWithin, and sending the request to a replica takes part of that.
const reservationLifetime = quota.DefaultSpendWithin / 2

// quotaReservation holds the units that a request has reserved of its organisation's quota.
type quotaReservation struct {
	units float64
	// own units are from this entry's share, borrowed ones from other entries' shares.
	own      float64
	borrowed []quotaLoan
	// reservedAt is on the boot clock.
	reservedAt time.Duration
	// spent is set while the units count as used by a replica.
	spent bool
}

// quotaLoan holds units borrowed from a lender.
type quotaLoan struct {
	lender string
	seq    uint64
	units  float64
}

// quotaStats is what a request's log line says of its quota: how many lenders were asked and did not
// answer, whether no entry that might have units could be reached, the last lender, the time
// that reserving took, the Retry-After and the number of reservations.
type quotaStats struct {
	units         float64
	lendersAsked  int
	lendersSilent int
	unreachable   bool
	took          time.Duration
	lender        string
	retryAfter    time.Duration
	reservations  int
}

// hasQuota reports whether the request counts against a quota.
func (req *request) hasQuota() bool {
	return req.organisation != nil && req.organisation.Quota.Limited()
}

// reserveQuota reserves the request's units unless it holds units that may still be spent. It reports
// false if the organisation's quota has no room now.
func (req *request) reserveQuota() bool {
	if !req.hasQuota() {
		return true
	}
	if reservation := req.reservation; reservation != nil && !reservation.spent && req.entry.bootClock()-reservation.reservedAt <= reservationLifetime {
		return true
	}
	req.releaseQuota()
	for {
		ok, expired := req.withdrawReservation()
		if !expired || req.ctx.Err() != nil {
			return ok
		}
	}
}

// withdrawReservation makes a reservation of the request's units. expired is set if that took longer than units
// may be held.
func (req *request) withdrawReservation() (ok, expired bool) {
	began := req.entry.bootClock()
	reservation := &quotaReservation{units: req.organisation.Quota.Units(&req.params), reservedAt: began}
	ok = req.withdrawQuota(reservation)
	took := req.entry.bootClock() - began
	req.quotaStats.units = reservation.units
	req.quotaStats.reservations++
	req.quotaStats.took += took
	expired = ok && took > quota.DefaultSpendWithin
	if !ok || expired {
		req.entry.quotas.returnUnits(req.organisation.Name, reservation)
		return false, expired
	}
	req.reservation = reservation
	return true, false
}

// withdrawQuota takes units from this entry's share, or else from other entries'.
func (req *request) withdrawQuota(reservation *quotaReservation) bool {
	q, name := req.entry.quotas, req.organisation.Name
	if q.takeOwn(name, reservation.units) {
		reservation.own = reservation.units
		return true
	}
	missing := reservation.units
	lenders, reached := q.lenders(name, missing)
	req.quotaStats.unreachable = !reached
	for _, lender := range lenders {
		req.quotaStats.lendersAsked++
		seq, lent, answered := q.borrow(req.ctx, name, lender, missing)
		if !answered {
			req.quotaStats.lendersSilent++
			req.quotaStats.unreachable = req.quotaStats.lendersSilent == req.quotaStats.lendersAsked
		}
		if lent > 0 {
			req.quotaStats.lender = lender
			reservation.borrowed = append(reservation.borrowed, quotaLoan{lender, seq, lent})
			missing -= lent
		}
		if missing <= 0 {
			return true
		}
		if req.ctx.Err() != nil {
			return false
		}
	}
	if len(reservation.borrowed) > 0 && q.takeOwn(name, missing) {
		reservation.own = missing
		return true
	}
	return false
}

// releaseQuota returns units that are reserved but not spent.
func (req *request) releaseQuota() {
	if reservation := req.reservation; reservation != nil && !reservation.spent {
		req.entry.quotas.returnUnits(req.organisation.Name, reservation)
	}
	req.reservation = nil
}

// spendQuota marks the units as spent: the request is sent to a replica.
func (req *request) spendQuota() {
	if req.reservation != nil {
		req.reservation.spent = true
	}
}

// unspendQuota undoes spendQuota: the replica has not run the request.
func (req *request) unspendQuota() {
	if req.reservation != nil {
		req.reservation.spent = false
	}
}

// answerOverQuota answers a request that its organisation's quota has no room for.
func (req *request) answerOverQuota() {
	switch {
	case req.ctx.Err() != nil:
		req.answerEnded(false)
	case req.firstByte > 0:
		req.abort("organisation's quota exceeded")
	case req.fallbackAnswer != nil:
		req.writeAnswer(req.fallbackAnswer)
	case req.plan.MayHaveRun():
		req.fail(http.StatusBadGateway, "organisation's quota exceeded", 0)
	case req.quotaStats.unreachable:
		req.entry.tel.Metrics.Count("quota_unheard", 1)
		req.refuse("no entry that may have units of the organisation's quota answers", defaultRetryAfter)
	default:
		req.entry.tel.Metrics.Count("quota_refused", 1)
		req.quotaStats.retryAfter = req.entry.quotas.recordRefusal(req.organisation.Name, req.quotaStats.units)
		req.outcome = outcomeRefused
		req.reply(http.StatusTooManyRequests, "organisation's quota exceeded", req.quotaStats.retryAfter)
	}
}

// quotaAttr is the log attribute of the request's quota.
func (req *request) quotaAttr() slog.Attr {
	stats := &req.quotaStats
	fields := []any{slog.Float64("units", stats.units)}
	if s, ok := req.entry.quotas.state(req.organisation.Name); ok {
		fields = append(fields, slog.Float64("rate", s.Rate), slog.Float64("burst", s.Burst), slog.Float64("part", s.Share),
			slog.Float64("left", oneDecimal(s.Level)), slog.Bool("list_too_old", s.Stale))
	}
	if stats.lendersAsked > 0 {
		fields = append(fields, slog.Int("asked", stats.lendersAsked), slog.Int("silent", stats.lendersSilent), slog.String("lender", stats.lender),
			slog.Float64("took_ms", ms(stats.took)))
	}
	if stats.retryAfter > 0 {
		fields = append(fields, slog.Int64("retry_after_ms", stats.retryAfter.Milliseconds()))
	}
	if stats.reservations > 1 {
		fields = append(fields, slog.Int("charged", stats.reservations))
	}
	return slog.Group("quota", fields...)
}

// takeOwn takes units from this entry's share; it succeeds if the organisation has no quota.
func (q *quotas) takeOwn(organisation string, units float64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.ledger.HasQuota(organisation) || q.ledger.Take(organisation, units, q.entry.bootClock())
}

// lenders lists the entries to borrow units from. reached is false if all that might have units are
// unresponsive.
func (q *quotas) lenders(organisation string, units float64) (list []string, reached bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.entry.bootClock()
	answers := func(id string) bool { return q.silence.Usable(id, now) }
	return q.ledger.Lenders(organisation, units, answers, now), q.ledger.OwnerReachable(organisation, answers, now)
}

// returnUnits returns unspent units of a reservation to where they came from.
func (q *quotas) returnUnits(organisation string, reservation *quotaReservation) {
	if reservation.own > 0 {
		q.mu.Lock()
		q.ledger.Refund(organisation, reservation.own, reservation.reservedAt, q.entry.bootClock())
		q.mu.Unlock()
	}
	for _, loan := range reservation.borrowed {
		if to, ok := q.entry.peers.address(loan.lender); ok {
			q.send(&peermessage.Quota{Step: peermessage.QuotaReturn, Seq: loan.seq, Organisation: organisation, Units: loan.units}, to)
		}
	}
	reservation.own, reservation.borrowed = 0, nil
}

// recordRefusal counts refused units; it returns the time until the quota has room for them.
func (q *quotas) recordRefusal(organisation string, units float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.RecordRefusal(organisation, units, q.entry.bootClock())
}

func (q *quotas) state(organisation string) (quota.State, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.State(organisation, q.entry.bootClock())
}
