package attempt

import "time"

// DispatchFailure classifies why a request that an entry dispatched directly to a
// replica has no answer to forward.
type DispatchFailure uint8

// Values of DispatchFailure.
const (
	// FailureNotSent: no part of the request left this process.
	FailureNotSent DispatchFailure = iota
	// FailureNotRun: the replica reports that it did not run the request.
	FailureNotRun
	// FailureUnknown: the request may have run; no valid answer was received.
	FailureUnknown
	// FailureErrorResponse: the replica ran the request and answered with an error.
	FailureErrorResponse
)

var failureNames = [...]string{"not_sent", "not_run", "unknown", "failed"}

// String returns the failure's name in logs.
func (l DispatchFailure) String() string { return failureNames[l] }

// DispatchSpec determines how often a request may be dispatched.
type DispatchSpec struct {
	Organisation string
	// Repeatable requests may run again after an unknown outcome.
	Repeatable bool
	// MaxRuns bounds the replicas on which the request may run.
	MaxRuns int
	// MaxDispatches bounds the replicas to which the request may be sent, including
	// those that refuse to run it.
	MaxDispatches int
	// Deadline is when the caller stops waiting; 0 is none.
	Deadline time.Duration
}

// DefaultMaxDispatches lets a request be refused by two replicas, for example during a
// change of weights, and still run. A higher bound would multiply the arrivals at
// replicas that are all full.
const DefaultMaxDispatches = 4

// DispatchPlan decides, for one request that an entry dispatches to replicas itself,
// whether to dispatch it again after a failure. It is pure.
//
// Invariants: mayHaveRun is never reset; a request that may have run and is not
// repeatable is never dispatched again.
type DispatchPlan struct {
	spec       DispatchSpec
	budget     *Budget
	runs       int
	dispatches int
	mayHaveRun bool
}

// NewDispatchPlan returns the plan of a request, charged to the budget of its service.
func NewDispatchPlan(spec DispatchSpec, budget *Budget) *DispatchPlan {
	return &DispatchPlan{spec: spec, budget: budget}
}

// RetryDecision says what to do after a failure.
type RetryDecision struct {
	// Retry: dispatch the request to another replica.
	Retry bool
	// NotRun, if Retry is false, says that the request has not run and never will.
	NotRun bool
	// Reason says why the request isn't dispatched again.
	Reason string
}

// Values of RetryDecision.Reason.
const (
	reasonNotRepeatable = "not_repeatable"
	reasonRuns          = "attempts_used"
	reasonDispatches    = "placements_used"
	reasonBudget        = "budget_spent"
	reasonDeadline      = "deadline"
)

// RecordDispatch counts a dispatch that is about to be written.
func (f *DispatchPlan) RecordDispatch() { f.dispatches++ }

// MayHaveRun reports whether the request may have run.
func (f *DispatchPlan) MayHaveRun() bool { return f.mayHaveRun }

// RecordFailure records the failure of the latest dispatch and decides what to do
// next.
func (f *DispatchPlan) RecordFailure(loss DispatchFailure, now time.Duration) RetryDecision {
	kind := ExtraResend
	if loss == FailureUnknown || loss == FailureErrorResponse {
		f.mayHaveRun = true
		f.runs++
		kind = ExtraRetry
	}
	if reason := f.exhausted(loss, now); reason != "" {
		return RetryDecision{NotRun: !f.mayHaveRun, Reason: reason}
	}
	// A request that was not sent has cost no replica anything.
	if loss != FailureNotSent && !f.budget.Allow(kind, f.spec.Organisation, now) {
		return RetryDecision{NotRun: !f.mayHaveRun, Reason: reasonBudget}
	}
	return RetryDecision{Retry: true}
}

// exhausted returns why the request must not be dispatched again whatever the budget,
// or "".
func (f *DispatchPlan) exhausted(loss DispatchFailure, now time.Duration) string {
	switch {
	case f.mayHaveRun && !f.spec.Repeatable:
		return reasonNotRepeatable
	case f.runs >= f.spec.MaxRuns:
		return reasonRuns
	case f.dispatches >= f.spec.MaxDispatches && loss != FailureNotSent:
		return reasonDispatches
	case f.dispatches >= 2*f.spec.MaxDispatches:
		return reasonDispatches
	case f.spec.Deadline != 0 && now >= f.spec.Deadline:
		return reasonDeadline
	}
	return ""
}
