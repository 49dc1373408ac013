package attempt

import (
	"testing"
	"time"
)

// Guards against continued runs that multiply the load after a crash, come after the deadline, or
// follow each other, and against a request that is refused as not run after it went on.
func TestContinuationsAreBounded(t *testing.T) {
	plan := func(burst float64) *DispatchPlan {
		p := NewDispatchPlan(DispatchSpec{MaxRuns: 1, MaxDispatches: DefaultMaxDispatches, Deadline: time.Second}, NewBudget(BudgetParams{Burst: burst}))
		p.RecordDispatch()
		return p
	}
	p := plan(2)
	if reason := p.Continue(0); reason != "" {
		t.Fatalf("not continued: %s", reason)
	}
	if reason := p.Continue(0); reason != reasonContinued {
		t.Errorf("second time: %q", reason)
	}
	if d := p.RecordFailure(FailureNotRun, 0); d.Retry || d.NotRun {
		t.Errorf("after a refusal by the target: %+v", d)
	}
	if reason := plan(0).Continue(0); reason != reasonBudget {
		t.Errorf("without budget: %q", reason)
	}
	if reason := plan(2).Continue(time.Second); reason != reasonDeadline {
		t.Errorf("at the deadline: %q", reason)
	}
}
