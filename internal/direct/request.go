package direct

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/fleet"
	"skylarklead/internal/origin"
	"skylarklead/internal/ratelimit"
	"skylarklead/internal/route"
)

// maxLoggedParts bounds the parts of a prompt that a request's line names.
const maxLoggedParts = 4

// errTimeout is the cause with which a request's context ends at its deadline.
var errTimeout = errors.New("direct: request deadline exceeded")

// dispatchRecord describes one dispatch to a replica for the request's log line.
type dispatchRecord struct {
	// replica was picked for reason among candidates, at score and load in milliseconds.
	replica string
	reason  string
	score   float64
	load    float64
	// missedTokens is how many tokens of the prefix were not expected in the replica's cache.
	missedTokens int
	// fetchFrom is the address from which the replica was to fetch the missing prefix; "" for none.
	fetchFrom string
	// fetchTokens is how many tokens of the prefix the replica at fetchFrom is known to have
	// prefilled, 0 for a store or a guess.
	fetchTokens    int
	candidateCount int
	version        uint64
	// software is the version of the replica's software, "" if unknown.
	software string
	// listAge is how long ago the call was made that returned the replica list, listReader
	// the entry that made it.
	listAge    time.Duration
	listReader string
	// offListFor is how long ago the replica's record was removed; 0 if it wasn't.
	offListFor time.Duration
	// drainLeft is how much longer the draining entry lives, 0 if it isn't draining.
	drainLeft time.Duration
	// rateLimit is what was known of the replica's rate limit; zero for none.
	rateLimit ratelimit.State
	// notice is what the replica announced of itself in the head of its answer.
	notice  fleet.Notice
	outcome string
	status  int
	err     error
	took    time.Duration
	// skipped is how many answers that belong to no request or to another one came before.
	skipped int
}

// request is one request of a caller, from its arrival to the answer.
type request struct {
	entry       *Entry
	w           http.ResponseWriter
	httpRequest *http.Request
	ctx         context.Context
	cancel      context.CancelFunc

	config       *configuration
	route        *fleet.Route
	service      *fleet.Service
	organisation *fleet.Organisation
	// params is what the caller's headers say.
	params fleet.Request
	body   requestBody
	// started is when it arrived, on the entry's clock.
	started time.Duration
	// received is when its body was complete, 0 before.
	received time.Duration
	// deadline is when the final answer is due.
	deadline time.Duration
	// drainLeft is how much longer the draining entry lives when the request arrives, 0 if it isn't
	// draining.
	drainLeft time.Duration
	// plan decides whether the request may be sent again after a failed dispatch.
	plan  *attempt.DispatchPlan
	query route.PickQuery
	// keys identify what in the request may crash replicas.
	keys attempt.RequestKeys
	// trial is set if the request runs though one of its keys is given up; givenUpBy is the ID of the
	// part of its prompt for which it doesn't run, "" for none.
	trial     bool
	givenUpBy string
	// grants are the keys that the request was granted for a run, heldBack the time that it waited for
	// them.
	grants   []runGrant
	heldBack time.Duration
	// writing is set once the stream of a run for which others wait was written for long enough.
	writing bool
	// placed delivers the placement that the request waits for; nil if there is none in time.
	placed chan *placement
	// fallbackAnswer is a replica's error answer, forwarded if no retry brings a better one.
	fallbackAnswer *bufferedAnswer

	// capacityIn is the time until replicas that are closed now accept requests again; 0 if the
	// request has no placement for another reason.
	capacityIn time.Duration

	// roomIn is the time until there is room for a request that was refused by forecast, outlook
	// what that rests on.
	roomIn  time.Duration
	outlook outlookStats

	dispatches []dispatchRecord
	// excluded is from the latest attempt to place the request.
	excluded exclusions
	// waited is the time spent waiting for placements.
	waited time.Duration
	// reservation holds the units reserved of the organisation's quota; nil for none.
	reservation *quotaReservation
	quotaStats  quotaStats
	// firstByte is the time from arrival to the first byte sent to the caller; 0 before.
	firstByte time.Duration
	status    int
	outcome   string
	reason    string
	// held is set if the answer is held back until it is complete, heldFor the time from its first event to
	// its end.
	held    *heldAnswer
	heldFor time.Duration
	// unstarted is set if a draining entry had no time or no memory for the request when it was placed.
	unstarted bool
	// eventCount is the number of events sent to the caller.
	eventCount int
	// lastEventID is the ID of the last event that the caller was sent.
	lastEventID string
	// begunAt is the replica that brought the first event, as registered when the request was sent
	// to it.
	begunAt *fleet.Replica
	// takenUp is the software that began the stream which the request takes up.
	takenUp origin.Software
	// originBy says how that was found out.
	originBy    originSource
	resumed     int
	backupStats backupStats
}

// timeLeft is the time until the final answer is due, or until this entry ends.
func (req *request) timeLeft() time.Duration {
	left := req.deadline - req.entry.clock.now()
	if ends := req.entry.drain.left(); ends > 0 {
		left = min(left, ends)
	}
	return left
}

// timedOut reports whether the deadline has passed.
func (req *request) timedOut() bool { return errors.Is(context.Cause(req.ctx), errTimeout) }

// entryEnded reports whether the request ends because this entry does.
func (req *request) entryEnded() bool { return errors.Is(context.Cause(req.ctx), errEntryEnds) }

// callerLeft reports whether the caller has disconnected.
func (req *request) callerLeft() bool {
	return req.ctx.Err() != nil && !req.timedOut() && !req.entryEnded()
}

// log writes the request's log line and metrics.
func (req *request) log() {
	e := req.entry
	took := e.clock.now() - req.started
	e.tel.Metrics.Requests.Mark(1)
	e.tel.Metrics.Count("status_"+req.outcome, 1)
	attrs := []slog.Attr{
		slog.String("request", req.params.ID),
		slog.String("outcome", req.outcome),
		slog.Int("status", req.status),
		slog.Float64("took_ms", ms(took)),
	}
	if req.reason != "" {
		attrs = append(attrs, slog.String("reason", req.reason))
	}
	if req.config != nil {
		attrs = append(attrs, slog.Uint64("config", req.config.Version), slog.Int64("config_age_ms", (req.started-req.config.appliedAt).Milliseconds()))
	}
	if req.route != nil {
		attrs = append(attrs, slog.String("route", req.route.Name), slog.String("kind", req.route.Kind.String()))
	}
	if req.service != nil {
		attrs = append(attrs, slog.String("service", req.service.Name))
	}
	if req.organisation != nil {
		attrs = append(attrs, slog.String("organisation", req.organisation.Name))
	}
	if req.quotaStats.units > 0 {
		attrs = append(attrs, req.quotaAttr())
	}
	if req.drainLeft > 0 {
		attrs = append(attrs, slog.Float64("drain_left_ms", ms(req.drainLeft)))
	}
	if req.waited > time.Millisecond {
		attrs = append(attrs, slog.Float64("waited_ms", ms(req.waited)))
	}
	if req.firstByte > 0 {
		attrs = append(attrs, slog.Float64("first_ms", ms(req.firstByte)))
		e.tel.Metrics.FirstToken(req.route.Name, req.firstByte)
	}
	if req.heldFor > 0 {
		attrs = append(attrs, slog.Float64("held_ms", ms(req.heldFor)))
	}
	if req.eventCount > 0 {
		attrs = append(attrs, slog.Int("events", req.eventCount))
	}
	if req.params.LastEvent != "" {
		attrs = append(attrs, slog.String("after_event", req.params.LastEvent), slog.String("takes_up", req.params.Resumes), slog.String("origin_by", string(req.originBy)))
		req.countTakeUp()
	}
	if req.resumed > 0 {
		attrs = append(attrs, slog.Int("resumed", req.resumed))
	}
	if req.backupStats.target != "" || req.outcome == outcomeCut && req.backupStats.skipped != "" {
		attrs = append(attrs, req.backupStats.attr())
	}
	if req.givenUpBy != "" {
		attrs = append(attrs, slog.String("given_up_part", req.givenUpBy))
	}
	if req.heldBack > time.Millisecond {
		attrs = append(attrs, slog.Float64("held_back_ms", ms(req.heldBack)))
	}
	if req.trial {
		attrs = append(attrs, slog.Bool("trial", true))
	}
	if req.outcome != outcomeServed {
		attrs = append(attrs, req.partsAttr())
	}
	for i := range req.dispatches {
		attrs = append(attrs, req.dispatches[i].attr())
	}
	if req.outcome == outcomeRefused && req.service != nil {
		attrs = append(attrs, req.excluded.attr())
		if req.outlook.known {
			attrs = append(attrs, req.outlook.attr())
		}
	}
	e.tel.Log.LogAttrs(context.Background(), slog.LevelInfo, "request", attrs...)
}

// partsAttr is the log attribute of the prompt's shared parts, the first maxLoggedParts of them.
func (req *request) partsAttr() slog.Attr {
	shared := req.params.SharedParts()
	ids := make([]string, 0, maxLoggedParts)
	for _, part := range shared[:min(len(shared), maxLoggedParts)] {
		ids = append(ids, part.ID)
	}
	return slog.Any("parts", ids)
}

// attr is the log attribute of the replicas that could not take a request.
func (x *exclusions) attr() slog.Attr {
	return slog.Group("replicas", slog.Int("listed", x.listed), slog.Int("left", x.leaving),
		slog.Int("down", x.down), slog.Int("ordered", x.ordered), slog.Int("overdue", x.overdue), slog.Int("unfit", x.otherModel), slog.Int("other_software", x.otherSoftware), slog.Int("unrecorded", x.unrecorded), slog.Int("limited", x.limited), slog.Int("resting", x.backingOff),
		slog.Int("over_bound", x.overBound), slog.Float64("least_wait_ms", x.leastWaitMs))
}

// attr is the log attribute of a dispatch: what the decision was based on, how old that was, and the
// outcome.
func (d *dispatchRecord) attr() slog.Attr {
	fields := []any{
		slog.String("replica", d.replica),
		slog.String("chosen", d.reason),
		slog.Int("of", d.candidateCount),
		slog.Float64("score_ms", oneDecimal(d.score)),
		slog.Float64("load_ms", oneDecimal(d.load)),
		slog.Int64("list_age_ms", d.listAge.Milliseconds()), slog.String("list_from", d.listReader),
		slog.String("outcome", d.outcome),
		slog.Float64("took_ms", ms(d.took)),
	}
	if d.offListFor > 0 {
		fields = append(fields, slog.Int64("off_list_ms", d.offListFor.Milliseconds()))
	}
	if d.drainLeft > 0 {
		fields = append(fields, slog.Float64("drain_left_ms", ms(d.drainLeft)))
	}
	if d.missedTokens > 0 {
		fields = append(fields, slog.Int("missed_tokens", d.missedTokens))
	}
	if d.fetchFrom != "" {
		fields = append(fields, slog.String("fetch_from", d.fetchFrom))
	}
	if d.fetchTokens > 0 {
		fields = append(fields, slog.Int("fetch_tokens", d.fetchTokens))
	}
	if d.status != 0 {
		fields = append(fields, slog.Int("status", d.status))
	}
	if d.skipped > 0 {
		fields = append(fields, slog.Int("skipped_answers", d.skipped))
	}
	if d.software != "" {
		fields = append(fields, slog.String("software", d.software))
	}
	if d.version > 0 {
		fields = append(fields, slog.Uint64("weights", d.version))
	}
	if d.rateLimit.Sharers > 0 {
		fields = append(fields, slog.Float64("rate_limit", d.rateLimit.Rate), slog.Float64("rate_part", d.rateLimit.Share),
			slog.Int64("rate_limit_age_ms", d.rateLimit.Age.Milliseconds()))
	}
	if d.notice.Backoff > 0 {
		fields = append(fields, slog.Int64("asks_rest_ms", d.notice.Backoff.Milliseconds()))
	}
	if d.notice.Leaving {
		fields = append(fields, slog.Bool("says_leaving", true))
	}
	if d.notice.HasRateLimit {
		fields = append(fields, slog.Float64("named_rate_limit", d.notice.RateLimit))
	}
	if d.err != nil {
		fields = append(fields, slog.String("error", d.err.Error()))
	}
	return slog.Group("hand", fields...)
}

func ms(d time.Duration) float64 { return oneDecimal(float64(d) / float64(time.Millisecond)) }

func oneDecimal(x float64) float64 { return float64(int64(x*10)) / 10 }
