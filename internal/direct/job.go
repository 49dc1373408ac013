package direct

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/fleet"
	"skylarklead/internal/ratelimit"
	"skylarklead/internal/route"
)

// errTimeout ends a request whose time is over.
var errTimeout = errors.New("direct: the request's time is over")

// hand is one hand-over as the request's log line tells it.
type hand struct {
	replica string
	reason  string
	score   float64
	load    float64
	missed  int
	// source is where the replica was told to fetch missing cached parts from.
	source  string
	of      int
	version uint64
	// listAge is how long ago the call was made that showed the list of replicas, listFrom
	// the entry that made it.
	listAge  time.Duration
	listFrom string
	// offList is how long ago the replica's record was removed, 0 if it wasn't.
	offList time.Duration
	// limit is what was known of the replica's rate limit, zero for none.
	limit ratelimit.State
	// notice is what the replica said of itself in the head of its answer.
	notice  fleet.Notice
	outcome string
	status  int
	err     error
	took    time.Duration
}

// request is one request of a caller.
type request struct {
	entry  *Entry
	w      http.ResponseWriter
	r      *http.Request
	ctx    context.Context
	cancel context.CancelFunc

	config       *configuration
	route        *fleet.Route
	service      *fleet.Service
	organisation *fleet.Organisation
	params       fleet.Request
	body         []byte
	began        time.Duration
	// ends is when the request must have its final answer.
	ends    time.Duration
	forward *attempt.DispatchPlan
	query   route.PickQuery
	// print is the request's fingerprint.
	print uint64
	// placed brings the place that the request waits for, nil if there is none in time.
	placed chan *placement
	// failure is a replica's own failure, passed on if nothing better comes.
	failure *wholeAnswer

	// capacityIn is the time until replicas that take nothing now have a place again, 0 if that isn't
	// why there is none.
	capacityIn time.Duration

	hands []hand
	// excluded is of the latest try to place the request.
	excluded exclusions
	waited   time.Duration
	// charge is what it has taken of its organisation's limit, nil for nothing.
	charge   *charge
	charging charging
	first    time.Duration
	status   int
	outcome  string
	reason   string
	events   int
	// lastID is the id of the last event that the caller was sent.
	lastID  string
	resumed int
}

// left is the time until the final answer is due.
func (j *request) left() time.Duration { return j.ends - j.entry.clock.now() }

// late reports whether the request's time is over, gone whether its caller left.
func (j *request) late() bool { return errors.Is(context.Cause(j.ctx), errTimeout) }

func (j *request) gone() bool { return j.ctx.Err() != nil && !j.late() }

// log writes the request's line.
func (j *request) log() {
	e := j.entry
	took := e.clock.now() - j.began
	e.tel.Metrics.Requests.Mark(1)
	e.tel.Metrics.Count("status_"+j.outcome, 1)
	attrs := []slog.Attr{
		slog.String("request", j.params.ID),
		slog.String("outcome", j.outcome),
		slog.Int("status", j.status),
		slog.Float64("took_ms", ms(took)),
	}
	if j.reason != "" {
		attrs = append(attrs, slog.String("reason", j.reason))
	}
	if j.config != nil {
		attrs = append(attrs, slog.Uint64("config", j.config.Version), slog.Int64("config_age_ms", (j.began-j.config.appliedAt).Milliseconds()))
	}
	if j.route != nil {
		attrs = append(attrs, slog.String("route", j.route.Name), slog.String("kind", j.route.Kind.String()))
	}
	if j.service != nil {
		attrs = append(attrs, slog.String("service", j.service.Name))
	}
	if j.organisation != nil {
		attrs = append(attrs, slog.String("organisation", j.organisation.Name))
	}
	if j.charging.units > 0 {
		attrs = append(attrs, j.quotaAttr())
	}
	if j.waited > time.Millisecond {
		attrs = append(attrs, slog.Float64("waited_ms", ms(j.waited)))
	}
	if j.first > 0 {
		attrs = append(attrs, slog.Float64("first_ms", ms(j.first)))
		e.tel.Metrics.FirstToken(j.route.Name, j.first)
	}
	if j.events > 0 {
		attrs = append(attrs, slog.Int("events", j.events))
	}
	if j.resumed > 0 {
		attrs = append(attrs, slog.Int("resumed", j.resumed))
	}
	for i := range j.hands {
		attrs = append(attrs, j.hands[i].attr())
	}
	if j.outcome == outcomeRefused && j.service != nil {
		attrs = append(attrs, j.excluded.attr())
	}
	e.tel.Log.LogAttrs(context.Background(), slog.LevelInfo, "request", attrs...)
}

// attr renders which replicas could not take a request.
func (x *exclusions) attr() slog.Attr {
	return slog.Group("replicas", slog.Int("listed", x.listed), slog.Int("left", x.left),
		slog.Int("down", x.down), slog.Int("ordered", x.ordered), slog.Int("overdue", x.overdue), slog.Int("unfit", x.unfit), slog.Int("limited", x.limited), slog.Int("resting", x.resting))
}

// attr renders a hand-over: what it was decided by, how old that was, and what
// came of it.
func (h *hand) attr() slog.Attr {
	fields := []any{
		slog.String("replica", h.replica),
		slog.String("chosen", h.reason),
		slog.Int("of", h.of),
		slog.Float64("score_ms", round(h.score)),
		slog.Float64("load_ms", round(h.load)),
		slog.Int64("list_age_ms", h.listAge.Milliseconds()), slog.String("list_from", h.listFrom),
		slog.String("outcome", h.outcome),
		slog.Float64("took_ms", ms(h.took)),
	}
	if h.offList > 0 {
		fields = append(fields, slog.Int64("off_list_ms", h.offList.Milliseconds()))
	}
	if h.missed > 0 {
		fields = append(fields, slog.Int("missed_tokens", h.missed))
	}
	if h.source != "" {
		fields = append(fields, slog.String("fetch_from", h.source))
	}
	if h.status != 0 {
		fields = append(fields, slog.Int("status", h.status))
	}
	if h.version > 0 {
		fields = append(fields, slog.Uint64("weights", h.version))
	}
	if h.limit.Sharers > 0 {
		fields = append(fields, slog.Float64("rate_limit", h.limit.Rate), slog.Float64("rate_part", h.limit.Share),
			slog.Int64("rate_limit_age_ms", h.limit.Age.Milliseconds()))
	}
	if h.notice.Backoff > 0 {
		fields = append(fields, slog.Int64("asks_rest_ms", h.notice.Backoff.Milliseconds()))
	}
	if h.notice.Leaving {
		fields = append(fields, slog.Bool("says_leaving", true))
	}
	if h.notice.HasRateLimit {
		fields = append(fields, slog.Float64("named_rate_limit", h.notice.RateLimit))
	}
	if h.err != nil {
		fields = append(fields, slog.String("error", h.err.Error()))
	}
	return slog.Group("hand", fields...)
}

func ms(d time.Duration) float64 { return round(float64(d) / float64(time.Millisecond)) }

func round(x float64) float64 { return float64(int64(x*10)) / 10 }
