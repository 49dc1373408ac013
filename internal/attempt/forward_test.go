package attempt_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/attempt"
)

func roomyBudget() *attempt.Budget {
	return attempt.NewBudget(attempt.BudgetParams{Share: 1, Burst: 100})
}

// Symptom: a payment runs twice. Sequence: the replica reads it, its connection
// breaks before the answer, the entry hands it to another replica. Cause: an unknown
// outcome taken for one that has not run.
func TestForwardMutatingRunsOnce(t *testing.T) {
	f := attempt.NewDispatchPlan(attempt.DispatchSpec{MaxRuns: 3, MaxDispatches: 4}, roomyBudget())
	f.RecordDispatch()
	next := f.RecordFailure(attempt.FailureUnknown, 0)
	if next.Retry || next.NotRun {
		t.Fatalf("after an unknown outcome: %+v; want neither another try nor a promise that it didn't run", next)
	}
}

// Symptom: a request is refused although a neighbour is free. Sequence: one replica
// loads weights and says that it didn't run the request. Cause: its refusal taken
// for the request's end.
func TestForwardGoesOnAfterRefusal(t *testing.T) {
	for _, loss := range []attempt.DispatchFailure{attempt.FailureNotRun, attempt.FailureNotSent} {
		f := attempt.NewDispatchPlan(attempt.DispatchSpec{MaxRuns: 1, MaxDispatches: 4}, roomyBudget())
		f.RecordDispatch()
		if next := f.RecordFailure(loss, 0); !next.Retry {
			t.Errorf("after %v: %+v; want another replica", loss, next)
		}
	}
}

func TestForwardBounds(t *testing.T) {
	t.Run("runs", func(t *testing.T) {
		f := attempt.NewDispatchPlan(attempt.DispatchSpec{Repeatable: true, MaxRuns: 2, MaxDispatches: 9}, roomyBudget())
		f.RecordDispatch()
		if !f.RecordFailure(attempt.FailureErrorResponse, 0).Retry {
			t.Fatal("no second run of two")
		}
		f.RecordDispatch()
		if next := f.RecordFailure(attempt.FailureErrorResponse, 0); next.Retry || next.NotRun {
			t.Fatalf("after two runs of two: %+v", next)
		}
	})
	t.Run("deadline", func(t *testing.T) {
		f := attempt.NewDispatchPlan(attempt.DispatchSpec{Repeatable: true, MaxRuns: 2, MaxDispatches: 9, Deadline: time.Second}, roomyBudget())
		f.RecordDispatch()
		if next := f.RecordFailure(attempt.FailureNotRun, time.Second); next.Retry || !next.NotRun {
			t.Fatalf("at the deadline: %+v", next)
		}
	})
	t.Run("budget", func(t *testing.T) {
		f := attempt.NewDispatchPlan(attempt.DispatchSpec{Repeatable: true, MaxRuns: 2, MaxDispatches: 9}, attempt.NewBudget(attempt.BudgetParams{}))
		f.RecordDispatch()
		if next := f.RecordFailure(attempt.FailureNotRun, 0); next.Retry || !next.NotRun {
			t.Fatalf("with nothing in the budget: %+v", next)
		}
	})
}

// However losses fall, a request that may have run is never said not to have, one
// that may not be repeated is handed on at most once after it may have run, and no
// request runs more often than allowed.
func TestForwardKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := attempt.DispatchSpec{
			Repeatable:    rapid.Bool().Draw(t, "repeatable"),
			MaxRuns:       rapid.IntRange(1, 4).Draw(t, "runs"),
			MaxDispatches: rapid.IntRange(1, 6).Draw(t, "placements"),
		}
		f := attempt.NewDispatchPlan(spec, roomyBudget())
		mayHaveRun, runs := false, 0
		for {
			if mayHaveRun && !spec.Repeatable {
				t.Fatal("handed on though it may have run and may not be repeated")
			}
			f.RecordDispatch()
			loss := rapid.SampledFrom([]attempt.DispatchFailure{
				attempt.FailureNotSent, attempt.FailureNotRun, attempt.FailureUnknown, attempt.FailureErrorResponse,
			}).Draw(t, "loss")
			if loss == attempt.FailureUnknown || loss == attempt.FailureErrorResponse {
				mayHaveRun = true
				runs++
			}
			next := f.RecordFailure(loss, 0)
			if next.NotRun && mayHaveRun {
				t.Fatal("said not to have run though it may have")
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
