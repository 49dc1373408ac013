package attempt

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"skylarklead/internal/protocol"
)

// PlanSpec is what a plan has to know of its request.
type PlanSpec struct {
	// Organisation is whose request it is.
	Organisation string
	// Repeatable requests may run more than once.
	Repeatable bool
	// Keyed requests have an idempotency key: they aren't repeatable, but may be
	// sent more than once, for the claims let one of the sendings run.
	Keyed bool
	// Continuable answers can be gone on with from what the caller already has.
	// Completions are; a plain service's answer isn't, for a second run may
	// answer in other bytes.
	Continuable bool
}

// PlanParams bound a plan's efforts.
type PlanParams struct {
	// MaxAsks bounds how often owners are asked in a row without an answer.
	MaxAsks int
	// MaxRuns bounds the attempts of one request.
	MaxRuns int
	// MaxCrashes is how many engines one request may crash before it is given up,
	// as in PoisonParams.Limit.
	MaxCrashes int
	// ResumeTries bounds tries in a row to reach the executor of a repeatable
	// request before it is run elsewhere; ResolveTries those of one that isn't.
	ResumeTries  int
	ResolveTries int
	// Backoff is the first wait between tries; it doubles, with jitter.
	Backoff time.Duration
	// MaxBackoff bounds it.
	MaxBackoff time.Duration
	// RetryAfter is what callers are told when nothing better is known.
	RetryAfter time.Duration
	// GivenUpRetryAfter is when a caller may come back with a request given up here.
	GivenUpRetryAfter time.Duration
}

// DefaultPlanParams resolve for about 13 s, longer than a peer's freeze takes
// to be noticed.
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

// Plan is the entry's state of one request.
//
// Invariants: at most one attempt is live; tainted is set once some earlier
// attempt may have run, and then no answer says not_run; a request that isn't
// repeatable has no second attempt unless the first is known not to have run.
type Plan struct {
	spec    PlanSpec
	params  PlanParams
	budget  *Budget
	rng     *rand.Rand
	phase   phase
	attempt protocol.AttemptID
	target  protocol.Target
	sent    bool
	started bool
	tainted bool
	// ran is set once an executor has said that an attempt is done.
	ran bool
	// redirected is set while the live attempt follows a redirect.
	redirected bool
	suspect    bool
	away       bool
	next       uint64
	asks       int
	runs       int
	tries      int
	exclude    []string
	crashed    []string
}

// NewPlan returns the plan of one request. rng also draws the attempt IDs, so
// its seed has to be unpredictable and unique in the fleet.
func NewPlan(spec PlanSpec, params PlanParams, budget *Budget, rng *rand.Rand) *Plan {
	return &Plan{spec: spec, params: params, budget: budget, rng: rng}
}

// Begin counts the request and asks for its executor.
func (p *Plan) Begin(now time.Duration) []Action {
	p.budget.RecordRequest(now)
	return p.ask(0)
}

// Final reports whether the caller has its final answer.
func (p *Plan) Final() bool { return p.phase == phaseFinal }

// Attempt is the live attempt.
func (p *Plan) Attempt() protocol.AttemptID { return p.attempt }

// Step takes one event. Events of other attempts than the live one, and those
// after the final answer, change nothing.
func (p *Plan) Step(ev Event, now time.Duration) []Action {
	if p.phase == phaseFinal {
		return nil
	}
	switch e := ev.(type) {
	case DecisionReceived:
		return p.asked(e.Decision, now)
	case AskFailed:
		return p.askFailed()
	case NotSent:
		return p.notSent(e, now)
	case Sent:
		p.noteSent(e)
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
		p.away = true
	case CallerBack:
		p.away = false
	case GraceExpired:
		return p.graceOver()
	case DeadlinePassed:
		return p.abandon(protocol.CodeDeadline, "the deadline has passed")
	}
	return nil
}

func (p *Plan) isLive(a protocol.AttemptID) bool { return a == p.attempt && p.phase != phaseAsking }

func (p *Plan) ask(after time.Duration) []Action {
	p.phase = phaseAsking
	p.asks++
	return []Action{Ask{Exclude: slices.Clone(p.exclude), Crashed: slices.Clone(p.crashed), After: after}}
}

func (p *Plan) asked(d *protocol.Decision, now time.Duration) []Action {
	if p.phase != phaseAsking {
		return nil
	}
	if d.Refusal != nil {
		p.noteSaturation(d.Refusal.Code, now)
		if d.Refusal.Code == protocol.CodeNoEndpoint && p.asks < p.params.MaxAsks {
			// In a rolling restart a request can meet each endpoint while that one
			// is away: one left, the next one leaves, the last has no engine yet.
			// Its caller would be refused though the first is back. Asking has no
			// effect, so it is asked again, about all of them.
			p.exclude = nil
			return p.ask(p.wait(p.asks))
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
	return p.ask(p.wait(p.asks))
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
	return p.elsewhere(protocol.CodeNoEndpoint, "the executor can't be reached", 0, ExtraResend, now)
}

func (p *Plan) noteSent(e Sent) {
	if p.phase == phaseSending && e.Attempt == p.attempt {
		p.phase = phaseRunning
		p.sent = true
		p.target.Epoch = e.Epoch
	}
}

// elsewhere runs the request at another endpoint if the budget, the bound on
// attempts and what the caller already has allow it. The live attempt is known
// not to run, or the request is repeatable.
func (p *Plan) elsewhere(code protocol.Code, message string, retryAfter time.Duration, kind ExtraKind, now time.Duration) []Action {
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
		// Also while sending: the entry may be just about to write the Run.
		p.tainted = true
	}
	if p.phase != phaseAsking && p.spec.Repeatable {
		actions = append(actions, Cancel{Attempt: p.attempt, Target: p.target})
	}
	return append(actions, p.refuse(code, message, 0)...)
}

// graceOver cancels what nobody waits for. A call that may not be repeated runs
// to its end: cancelling it would leave its outcome unknown for good.
func (p *Plan) graceOver() []Action {
	if !p.away {
		return nil
	}
	return p.abandon(protocol.CodeCanceled, "the caller has gone")
}

// refuse gives the final answer. It says not_run only if no attempt may have
// run and the caller has nothing of an answer; done if the answer was lost after
// an executor had said so.
func (p *Plan) refuse(code protocol.Code, message string, retryAfter time.Duration) []Action {
	ran := protocol.NotRun
	if p.tainted || p.next > 0 {
		ran = protocol.Unknown
	}
	if p.ran {
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

func (p *Plan) noteSaturation(code protocol.Code, now time.Duration) {
	if code == protocol.CodeOverloaded {
		p.budget.RecordSaturation(p.spec.Organisation, now)
	}
}

// wait is the backoff before try n, counted from 1, with jitter so that many
// requests that failed together don't come back together.
func (p *Plan) wait(n int) time.Duration {
	d := min(p.params.Backoff<<min(n-1, 16), p.params.MaxBackoff)
	return d/2 + time.Duration(p.rng.Int64N(int64(d/2)+1))
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
