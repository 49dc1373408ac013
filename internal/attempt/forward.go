package attempt

import "time"

// Loss is why a request that was handed to a replica directly has no answer to
// pass on.
type Loss uint8

// The losses.
const (
	// LossNotSent: nothing of the request left this process.
	LossNotSent Loss = iota
	// LossNotRun: the replica says that it didn't run the request.
	LossNotRun
	// LossUnknown: the request may have run; no answer came, or none that is one.
	LossUnknown
	// LossFailed: the replica ran the request and answered with a failure.
	LossFailed
)

var lossNames = [...]string{"not_sent", "not_run", "unknown", "failed"}

// String names the loss as logs have it.
func (l Loss) String() string { return lossNames[l] }

// ForwardSpec is what decides how often a request may be handed on.
type ForwardSpec struct {
	Organisation string
	// Repeatable requests may run again after an unknown outcome.
	Repeatable bool
	// Runs is the most replicas on which it may run.
	Runs int
	// Placements is the most replicas to which it may go, those that refuse to run
	// it included.
	Placements int
	// Deadline is when nobody waits for it any more.
	Deadline time.Duration
}

// DefaultPlacements lets a request pass two replicas that refuse it, as during a
// change of weights, and still run. More would multiply the arrivals at replicas
// that are all full.
const DefaultPlacements = 4

// Forward decides what becomes of one request that an entry hands to replicas
// itself. It is pure.
//
// Invariants: tainted is never unset; a request that is tainted and not repeatable
// is never handed on again.
type Forward struct {
	spec       ForwardSpec
	budget     *Budget
	runs       int
	placements int
	tainted    bool
}

// NewForward returns the decisions for a request, with the budget of its service.
func NewForward(spec ForwardSpec, budget *Budget) *Forward {
	return &Forward{spec: spec, budget: budget}
}

// Next is what to do after a loss.
type Next struct {
	// Again: hand the request to another replica.
	Again bool
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

// Placed counts a hand-over that is about to be written.
func (f *Forward) Placed() { f.placements++ }

// Tainted reports whether the request may have run.
func (f *Forward) Tainted() bool { return f.tainted }

// Lost takes the outcome of the latest hand-over and says what next.
func (f *Forward) Lost(loss Loss, now time.Duration) Next {
	kind := ExtraResend
	if loss == LossUnknown || loss == LossFailed {
		f.tainted = true
		f.runs++
		kind = ExtraRetry
	}
	if reason := f.exhausted(loss, now); reason != "" {
		return Next{NotRun: !f.tainted, Reason: reason}
	}
	// What was not sent costs no replica anything.
	if loss != LossNotSent && !f.budget.Allow(kind, f.spec.Organisation, now) {
		return Next{NotRun: !f.tainted, Reason: reasonBudget}
	}
	return Next{Again: true}
}

func (f *Forward) exhausted(loss Loss, now time.Duration) string {
	switch {
	case f.tainted && !f.spec.Repeatable:
		return reasonNotRepeatable
	case f.runs >= f.spec.Runs:
		return reasonRuns
	case f.placements >= f.spec.Placements && loss != LossNotSent:
		return reasonPlacements
	case f.placements >= 2*f.spec.Placements:
		return reasonPlacements
	case f.spec.Deadline != 0 && now >= f.spec.Deadline:
		return reasonDeadline
	}
	return ""
}
