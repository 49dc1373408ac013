package direct

import (
	"log/slog"
	"time"
)

// retryTimeDivisor is the divisor of the time that a caller has left which gives the latest time
// at which it is told to come back: later, its answer could not end in time.
const retryTimeDivisor = 2

// outlookStats is what a request's line says of the forecast: its rank, how many of that rank waited,
// and at which rate they were placed.
type outlookStats struct {
	known   bool
	rank    int
	waiting int
	rate    float64
}

// rejectBeyondOutlook rejects the waiting requests whose turn would come only after their time, the
// last of each rank first. The caller holds mu.
func (s *state) rejectBeyondOutlook(q *serviceQueue, now time.Duration) {
	if !s.refuseByForecast {
		return
	}
	backlogs := q.waiting.Backlogs()
	q.outlook.ObserveBacklogs(backlogs, now)
	for rank, backlog := range backlogs {
		n, known := q.outlook.PlacedWithin(rank, backlog.LastExpiry-now, now)
		if !known || backlog.Count <= n {
			continue
		}
		rate, _ := q.outlook.Rate(rank, now)
		for _, queued := range q.waiting.TrimPriority(rank, n, now) {
			req := queued.Value.(*request)
			req.outlook = outlookStats{known: true, rank: rank, waiting: backlog.Count, rate: rate}
			most := max(defaultRetryAfter, req.timeLeft()/retryTimeDivisor)
			req.roomIn = q.outlook.Promise(rank, n, defaultRetryAfter, most, now)
			req.placed <- nil
		}
	}
}

// attr is the log attribute of a forecast by which a request was refused.
func (o *outlookStats) attr() slog.Attr {
	return slog.Group("outlook", slog.Int("rank", o.rank), slog.Int("waiting", o.waiting), slog.Float64("placed_a_second", oneDecimal(o.rate)))
}
