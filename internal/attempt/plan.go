package attempt

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"skylarklead/internal/protocol"
)

// PlanSpec holds the properties of a request that a Plan depends on.
type PlanSpec struct {
	// Organisation is the customer that the request belongs to.
	Organisation string
	// Repeatable requests may run more than once.
	Repeatable bool
	// Keyed requests have an idempotency key. They aren't repeatable, but may be sent
	// more than once, since the claims let only one of the attempts run.
	Keyed bool
	// Continuable answers can be continued by another run from what the caller already
	// has. That holds for completions, but not for the answer of a plain service,
	// because a second run may answer with different bytes.
	Continuable bool
}

// PlanParams bounds the attempts and waits of a Plan.
type PlanParams struct {
	// MaxAsks bounds how often owners are asked in a row without an answer.
	MaxAsks int
	// MaxRuns bounds the attempts of one request.
	MaxRuns int
	// MaxCrashes is the number of engines that one request may crash before it is
	// given up, as PoisonParams.MaxCrashes.
	MaxCrashes int
	// ResumeTries bounds consecutive tries to reach the executor of a repeatable
	// request before the request is run elsewhere. ResolveTries bounds those for a
	// request that isn't repeatable.
	ResumeTries  int
	ResolveTries int
	// Backoff is the wait before the second try. It doubles with each try, with
	// jitter, up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// RetryAfter is the Retry-After of refusals for which no better value is known.
	RetryAfter time.Duration
	// GivenUpRetryAfter is the Retry-After of a request that was given up.
	GivenUpRetryAfter time.Duration
}

// DefaultPlanParams resolves for about 13 s, which is longer than it takes to detect a
// frozen peer.
var DefaultPlanParams = PlanParams{
	MaxAsks: 4, MaxRuns: 4, MaxCrashes: DefaultPoisonParams.MaxCrashes, ResumeTries: 2, ResolveTries: 10,
	Backoff: 50 * time.Millisecond, MaxBackoff: 2 * time.Second,
	RetryAfter: time.Second, GivenUpRetryAfter: time.Hour,
}

type phase uint8

const (
	phaseAsking phase = iota
	phaseSending
	phaseRunning
	phaseResolving
	phaseResuming
	phaseFinal
)

// Plan is the state machine of one request at its entry.
//
// Invariants: at most one attempt is live. mayHaveRun is set once an earlier attempt
// may have run, and from then on no answer says not_run. A request that is neither
// repeatable nor keyed has no second attempt unless the first is known not to have
// run.
type Plan struct {
	spec       PlanSpec
	params     PlanParams
	budget     *Budget
	rng        *rand.Rand
	phase      phase
	attempt    protocol.AttemptID
	target     protocol.Target
	sent       bool
	started    bool
	mayHaveRun bool
	// confirmedDone is set once an executor has reported that an attempt is done.
	confirmedDone bool
	// redirected is set while the live attempt follows a redirect.
	redirected       bool
	suspect          bool
	callerGone       bool
	next             uint64
	asks             int
	runs             int
	tries            int
	exclude          []string
	crashedEndpoints []string
}

// NewPlan returns the plan of one request. rng also generates the attempt IDs, so its
// seed has to be unpredictable and unique in the fleet.
func NewPlan(spec PlanSpec, params PlanParams, budget *Budget, rng *rand.Rand) *Plan {
	return &Plan{spec: spec, params: params, budget: budget, rng: rng}
}

// Begin counts the request in the budget and asks for an executor.
func (p *Plan) Begin(now time.Duration) []Action {
	p.budget.RecordRequest(now)
	return p.ask(0)
}

// Final reports whether the final answer has been given.
func (p *Plan) Final() bool { return p.phase == phaseFinal }

// Attempt is the ID of the live attempt.
func (p *Plan) Attempt() protocol.AttemptID { return p.attempt }

// Step applies one event. Events of an attempt that is not live, and events after the
// final answer, have no effect.
func (p *Plan) Step(ev Event, now time.Duration) []Action {
	if p.phase == phaseFinal {
		return nil
	}
	switch e := ev.(type) {
	case DecisionReceived:
		return p.decisionReceived(e.Decision, now)
	case AskFailed:
		return p.askFailed()
	case NotSent:
		return p.notSent(e, now)
	case Sent:
		p.recordSent(e)
	case Started:
		p.started = p.started || p.isLive(e.Attempt)
	case ChunkDelivered:
		p.next = max(p.next, e.Next)
	case Ended:
		return p.ended(e, now)
	case SessionLost:
		return p.sessionLost(e)
	case Resolved:
		return p.resolved(e, now)
	case ResumeOpened:
		p.resumeOpened(e)
	case ResumeFailed:
		return p.resumeFailed(e, now)
	case CallerGone:
		p.callerGone = true
	case CallerBack:
		p.callerGone = false
	case GraceExpired:
		return p.graceExpired()
	case DeadlinePassed:
		return p.abandon(protocol.CodeDeadline, "the deadline has passed")
	case EntryEnds:
		return p.entryEnds()
	}
	return nil
}

func (p *Plan) isLive(a protocol.AttemptID) bool { return a == p.attempt && p.phase != phaseAsking }

func (p *Plan) ask(after time.Duration) []Action {
	p.phase = phaseAsking
	p.asks++
	return []Action{Ask{Exclude: slices.Clone(p.exclude), Crashed: slices.Clone(p.crashedEndpoints), After: after}}
}

func (p *Plan) decisionReceived(d *protocol.Decision, now time.Duration) []Action {
	if p.phase != phaseAsking {
		return nil
	}
	if d.Refusal != nil {
		p.recordSaturation(d.Refusal.Code, now)
		if d.Refusal.Code == protocol.CodeNoEndpoint && p.asks < p.params.MaxAsks {
			// In a rolling restart a request can meet each endpoint while it is
			// unavailable: one is draining, the next one starts to drain, the last has
			// no engine yet. The caller would be refused although the first is back by
			// then. Asking has no side effect, so all endpoints are asked about again.
			p.exclude = nil
			return p.ask(p.backoff(p.asks))
		}
		return p.refuse(d.Refusal.Code, d.Refusal.Message, millis(d.Refusal.RetryAfterMs))
	}
	p.asks = 0
	p.suspect = d.Suspect
	return p.run(d.Executor, false)
}

func (p *Plan) askFailed() []Action {
	if p.phase != phaseAsking {
		return nil
	}
	if p.asks >= p.params.MaxAsks {
		return p.refuse(protocol.CodeNoEndpoint, "no owner answered", p.params.RetryAfter)
	}
	return p.ask(p.backoff(p.asks))
}

func (p *Plan) run(target protocol.Target, redirected bool) []Action {
	p.phase = phaseSending
	p.attempt = p.newAttempt()
	p.target = target
	p.sent, p.started, p.redirected = false, false, redirected
	p.runs++
	p.tries = 0
	return []Action{Run{Attempt: p.attempt, Target: target, FirstSeq: p.next, Suspect: p.suspect, Redirected: redirected}}
}

func (p *Plan) newAttempt() protocol.AttemptID {
	var a protocol.AttemptID
	binary.LittleEndian.PutUint64(a[:8], p.rng.Uint64())
	binary.LittleEndian.PutUint64(a[8:], p.rng.Uint64())
	return a
}

func (p *Plan) notSent(e NotSent, now time.Duration) []Action {
	if p.phase != phaseSending || e.Attempt != p.attempt {
		return nil
	}
	return p.retryElsewhere(protocol.CodeNoEndpoint, "the executor can't be reached", 0, ExtraResend, now)
}

func (p *Plan) recordSent(e Sent) {
	if p.phase == phaseSending && e.Attempt == p.attempt {
		p.phase = phaseRunning
		p.sent = true
		p.target.Epoch = e.Epoch
	}
}

// retryElsewhere runs the request at another endpoint if the budget, the bound on
// attempts and what the caller already has allow it. The live attempt must be known
// not to run, or the request must be repeatable or keyed.
func (p *Plan) retryElsewhere(code protocol.Code, message string, retryAfter time.Duration, kind ExtraKind, now time.Duration) []Action {
	if p.target.Endpoint != "" && !slices.Contains(p.exclude, p.target.Endpoint) {
		p.exclude = append(p.exclude, p.target.Endpoint)
	}
	canContinue := p.next == 0 || p.spec.Continuable && p.spec.Repeatable
	if !canContinue || p.runs >= p.params.MaxRuns || !p.budget.Allow(kind, p.spec.Organisation, now) {
		return p.refuse(code, message, max(retryAfter, p.params.RetryAfter))
	}
	p.asks = 0
	return p.ask(0)
}

// abandon ends a request that nobody waits for any more.
func (p *Plan) abandon(code protocol.Code, message string) []Action {
	var actions []Action
	if p.phase != phaseAsking {
		// This includes the sending phase: the entry may be about to write the Run.
		p.mayHaveRun = true
	}
	if p.phase != phaseAsking && p.spec.Repeatable {
		actions = append(actions, Cancel{Attempt: p.attempt, Target: p.target})
	}
	return append(actions, p.refuse(code, message, 0)...)
}

// graceExpired ends a request whose caller did not come back. A call that may not be
// repeated still runs to its end, because cancelling it would leave its outcome
// unknown for good.
func (p *Plan) graceExpired() []Action {
	if !p.callerGone {
		return nil
	}
	return p.abandon(protocol.CodeCanceled, "the caller disconnected")
}

// entryEnds gives the answer of a request that is left when the entry ends.
func (p *Plan) entryEnds() []Action {
	if p.phase == phaseAsking && !p.mayHaveRun && p.next == 0 {
		return p.refuse(protocol.CodeDraining, "this entry is shutting down", p.params.RetryAfter)
	}
	return p.abandon(protocol.CodeUnknownOutcome, "this entry shut down before the answer was complete")
}

// refuse gives the final answer. It says not_run only if no attempt may have run and
// the caller has received no part of an answer, and done if an executor had reported
// that before the answer was lost.
func (p *Plan) refuse(code protocol.Code, message string, retryAfter time.Duration) []Action {
	ran := protocol.NotRun
	if p.mayHaveRun || p.next > 0 {
		ran = protocol.Unknown
	}
	if p.confirmedDone {
		ran = protocol.Done
	}
	if ran != protocol.NotRun && code == protocol.CodeNotRun {
		code = protocol.CodeUnknownOutcome
	}
	return p.finish(nil, &protocol.Refusal{Code: code, Message: message, Ran: ran, RetryAfterMs: retryAfter.Milliseconds()})
}

func (p *Plan) finish(end *protocol.End, refusal *protocol.Refusal) []Action {
	p.phase = phaseFinal
	return []Action{Finish{End: end, Refusal: refusal}}
}

func (p *Plan) recordSaturation(code protocol.Code, now time.Duration) {
	if code == protocol.CodeOverloaded {
		p.budget.RecordSaturation(p.spec.Organisation, now)
	}
}

// backoff returns the wait before try n, counted from 1. Jitter keeps requests that
// failed together from being retried together.
func (p *Plan) backoff(n int) time.Duration {
	d := min(p.params.Backoff<<min(n-1, 16), p.params.MaxBackoff)
	return d/2 + time.Duration(p.rng.Int64N(int64(d/2)+1))
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
