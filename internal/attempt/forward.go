package attempt

import "time"

// DispatchFailure is why a request that was handed to a replica directly has no answer to
// pass on.
type DispatchFailure uint8

// The losses.
const (
	// FailureNotSent: nothing of the request left this process.
	FailureNotSent DispatchFailure = iota
	// FailureNotRun: the replica says that it didn't run the request.
	FailureNotRun
	// FailureUnknown: the request may have run; no answer came, or none that is one.
	FailureUnknown
	// FailureErrorResponse: the replica ran the request and answered with a failure.
	FailureErrorResponse
)

var lossNames = [...]string{"not_sent", "not_run", "unknown", "failed"}

// String names the loss as logs have it.
func (l DispatchFailure) String() string { return lossNames[l] }

// DispatchSpec is what decides how often a request may be handed on.
type DispatchSpec struct {
	Organisation string
	// Repeatable requests may run again after an unknown outcome.
	Repeatable bool
	// MaxRuns is the most replicas on which it may run.
	MaxRuns int
	// MaxDispatches is the most replicas to which it may go, those that refuse to run
	// it included.
	MaxDispatches int
	// Deadline is when nobody waits for it any more.
	Deadline time.Duration
}

// DefaultMaxDispatches lets a request pass two replicas that refuse it, as during a
// change of weights, and still run. More would multiply the arrivals at replicas
// that are all full.
const DefaultMaxDispatches = 4

// DispatchPlan decides what becomes of one request that an entry hands to replicas
// itself. It is pure.
//
// Invariants: tainted is never unset; a request that is tainted and not repeatable
// is never handed on again.
type DispatchPlan struct {
	spec       DispatchSpec
	budget     *Budget
	runs       int
	placements int
	tainted    bool
}

// NewDispatchPlan returns the decisions for a request, with the budget of its service.
func NewDispatchPlan(spec DispatchSpec, budget *Budget) *DispatchPlan {
	return &DispatchPlan{spec: spec, budget: budget}
}

// RetryDecision is what to do after a loss.
type RetryDecision struct {
	// Retry: hand the request to another replica.
	Retry bool
	// NotRun, when it is not handed on again, says that it has not run and never
	// will.
	NotRun bool
	// Reason is why it isn't handed on again.
	Reason string
}

// Reasons to give up.
const (
	reasonNotRepeatable = "not_repeatable"
	reasonRuns          = "attempts_used"
	reasonPlacements    = "placements_used"
	reasonBudget        = "budget_spent"
	reasonDeadline      = "deadline"
)

// RecordDispatch counts a hand-over that is about to be written.
func (f *DispatchPlan) RecordDispatch() { f.placements++ }

// MayHaveRun reports whether the request may have run.
func (f *DispatchPlan) MayHaveRun() bool { return f.tainted }

// RecordFailure takes the outcome of the latest hand-over and says what next.
func (f *DispatchPlan) RecordFailure(loss DispatchFailure, now time.Duration) RetryDecision {
	kind := ExtraResend
	if loss == FailureUnknown || loss == FailureErrorResponse {
		f.tainted = true
		f.runs++
		kind = ExtraRetry
	}
	if reason := f.exhausted(loss, now); reason != "" {
		return RetryDecision{NotRun: !f.tainted, Reason: reason}
	}
	// What was not sent costs no replica anything.
	if loss != FailureNotSent && !f.budget.Allow(kind, f.spec.Organisation, now) {
		return RetryDecision{NotRun: !f.tainted, Reason: reasonBudget}
	}
	return RetryDecision{Retry: true}
}

func (f *DispatchPlan) exhausted(loss DispatchFailure, now time.Duration) string {
	switch {
	case f.tainted && !f.spec.Repeatable:
		return reasonNotRepeatable
	case f.runs >= f.spec.MaxRuns:
		return reasonRuns
	case f.placements >= f.spec.MaxDispatches && loss != FailureNotSent:
		return reasonPlacements
	case f.placements >= 2*f.spec.MaxDispatches:
		return reasonPlacements
	case f.spec.Deadline != 0 && now >= f.spec.Deadline:
		return reasonDeadline
	}
	return ""
}
