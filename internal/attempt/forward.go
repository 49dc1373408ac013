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
func (f DispatchFailure) String() string { return failureNames[f] }

// MayHaveRun reports whether the request may have run in spite of the failure.
func (f DispatchFailure) MayHaveRun() bool {
	return f == FailureUnknown || f == FailureErrorResponse
}

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
	continued  bool
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
	reasonContinued     = "continued_before"
)

// RecordDispatch counts a dispatch that is about to be written.
func (p *DispatchPlan) RecordDispatch() { p.dispatches++ }

// MayHaveRun reports whether the request may have run.
func (p *DispatchPlan) MayHaveRun() bool { return p.mayHaveRun }

// RecordFailure records the failure of the latest dispatch and decides what to do
// next.
func (p *DispatchPlan) RecordFailure(failure DispatchFailure, now time.Duration) RetryDecision {
	kind := ExtraResend
	if failure.MayHaveRun() {
		p.mayHaveRun = true
		p.runs++
		kind = ExtraRetry
	}
	if reason := p.exhausted(failure, now); reason != "" {
		return RetryDecision{NotRun: !p.mayHaveRun, Reason: reason}
	}
	// A request that was not sent has cost no replica anything.
	if failure != FailureNotSent && !p.budget.Allow(kind, p.spec.Organisation, now) {
		return RetryDecision{NotRun: !p.mayHaveRun, Reason: reasonBudget}
	}
	return RetryDecision{Retry: true}
}

// Continue decides whether a run whose replica was lost may go on from a copy of its memory, and
// returns why not, "" if it may. It is the same run, so at-most-once doesn't forbid it, but
// one more arrival at the service, so it draws on the retry budget. A run continues once.
func (p *DispatchPlan) Continue(now time.Duration) string {
	p.mayHaveRun = true
	switch {
	case p.continued:
		return reasonContinued
	case p.dispatches >= p.spec.MaxDispatches:
		return reasonDispatches
	case p.spec.Deadline != 0 && now >= p.spec.Deadline:
		return reasonDeadline
	case !p.budget.Allow(ExtraContinuation, p.spec.Organisation, now):
		return reasonBudget
	}
	p.continued = true
	return ""
}

// exhausted returns why the request must not be dispatched again whatever the budget,
// or "".
func (p *DispatchPlan) exhausted(failure DispatchFailure, now time.Duration) string {
	switch {
	case p.mayHaveRun && !p.spec.Repeatable:
		return reasonNotRepeatable
	case p.runs >= p.spec.MaxRuns:
		return reasonRuns
	case p.dispatches >= p.spec.MaxDispatches && failure != FailureNotSent:
		return reasonDispatches
	case p.dispatches >= 2*p.spec.MaxDispatches:
		return reasonDispatches
	case p.spec.Deadline != 0 && now >= p.spec.Deadline:
		return reasonDeadline
	}
	return ""
}
