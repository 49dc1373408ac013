package attempt_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/attempt"
)

func largeBudget() *attempt.Budget {
	return attempt.NewBudget(attempt.BudgetParams{Share: 1, Burst: 100})
}

// Guards against running a payment twice: the replica reads the request, its
// connection breaks before the answer, and an unknown outcome is treated as not run.
func TestForwardMutatingRunsOnce(t *testing.T) {
	plan := attempt.NewDispatchPlan(attempt.DispatchSpec{MaxRuns: 3, MaxDispatches: 4}, largeBudget())
	plan.RecordDispatch()
	next := plan.RecordFailure(attempt.FailureUnknown, 0)
	if next.Retry || next.NotRun {
		t.Fatalf("after an unknown outcome: %+v; want neither a retry nor not_run", next)
	}
}

// Guards against refusing a request although another replica is free: a replica that
// is loading weights reports not run, and that is treated as the request's end.
func TestForwardGoesOnAfterRefusal(t *testing.T) {
	for _, loss := range []attempt.DispatchFailure{attempt.FailureNotRun, attempt.FailureNotSent} {
		plan := attempt.NewDispatchPlan(attempt.DispatchSpec{MaxRuns: 1, MaxDispatches: 4}, largeBudget())
		plan.RecordDispatch()
		if next := plan.RecordFailure(loss, 0); !next.Retry {
			t.Errorf("after %v: %+v; want another replica", loss, next)
		}
	}
}

func TestForwardBounds(t *testing.T) {
	t.Run("runs", func(t *testing.T) {
		plan := attempt.NewDispatchPlan(attempt.DispatchSpec{Repeatable: true, MaxRuns: 2, MaxDispatches: 9}, largeBudget())
		plan.RecordDispatch()
		if !plan.RecordFailure(attempt.FailureErrorResponse, 0).Retry {
			t.Fatal("no second run of two")
		}
		plan.RecordDispatch()
		if next := plan.RecordFailure(attempt.FailureErrorResponse, 0); next.Retry || next.NotRun {
			t.Fatalf("after two runs of two: %+v", next)
		}
	})
	t.Run("deadline", func(t *testing.T) {
		plan := attempt.NewDispatchPlan(attempt.DispatchSpec{Repeatable: true, MaxRuns: 2, MaxDispatches: 9, Deadline: time.Second}, largeBudget())
		plan.RecordDispatch()
		if next := plan.RecordFailure(attempt.FailureNotRun, time.Second); next.Retry || !next.NotRun {
			t.Fatalf("at the deadline: %+v", next)
		}
	})
	t.Run("budget", func(t *testing.T) {
		plan := attempt.NewDispatchPlan(attempt.DispatchSpec{Repeatable: true, MaxRuns: 2, MaxDispatches: 9}, attempt.NewBudget(attempt.BudgetParams{}))
		plan.RecordDispatch()
		if next := plan.RecordFailure(attempt.FailureNotRun, 0); next.Retry || !next.NotRun {
			t.Fatalf("with an empty budget: %+v", next)
		}
	})
}

// For any sequence of failures: a request that may have run is never reported as not
// run, a request that may not be repeated is not dispatched again once it may have
// run, and no request runs more often than allowed.
func TestForwardKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := attempt.DispatchSpec{
			Repeatable:    rapid.Bool().Draw(t, "repeatable"),
			MaxRuns:       rapid.IntRange(1, 4).Draw(t, "runs"),
			MaxDispatches: rapid.IntRange(1, 6).Draw(t, "placements"),
		}
		plan := attempt.NewDispatchPlan(spec, largeBudget())
		mayHaveRun, runs := false, 0
		for {
			if mayHaveRun && !spec.Repeatable {
				t.Fatal("dispatched again although it may have run and may not be repeated")
			}
			plan.RecordDispatch()
			loss := rapid.SampledFrom([]attempt.DispatchFailure{
				attempt.FailureNotSent, attempt.FailureNotRun, attempt.FailureUnknown, attempt.FailureErrorResponse,
			}).Draw(t, "loss")
			if loss == attempt.FailureUnknown || loss == attempt.FailureErrorResponse {
				mayHaveRun = true
				runs++
			}
			next := plan.RecordFailure(loss, 0)
			if next.NotRun && mayHaveRun {
				t.Fatal("reported as not run although it may have run")
			}
			if !next.Retry {
				break
			}
		}
		if runs > spec.MaxRuns {
			t.Fatalf("ran %d times of %d", runs, spec.MaxRuns)
		}
	})
}
