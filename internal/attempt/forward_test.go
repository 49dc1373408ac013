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
	f := attempt.NewForward(attempt.ForwardSpec{Runs: 3, Placements: 4}, roomyBudget())
	f.Placed()
	next := f.Lost(attempt.LossUnknown, 0)
	if next.Again || next.NotRun {
		t.Fatalf("after an unknown outcome: %+v; want neither another try nor a promise that it didn't run", next)
	}
}

// Symptom: a request is refused although a neighbour is free. Sequence: one replica
// loads weights and says that it didn't run the request. Cause: its refusal taken
// for the request's end.
func TestForwardGoesOnAfterRefusal(t *testing.T) {
	for _, loss := range []attempt.Loss{attempt.LossNotRun, attempt.LossNotSent} {
		f := attempt.NewForward(attempt.ForwardSpec{Runs: 1, Placements: 4}, roomyBudget())
		f.Placed()
		if next := f.Lost(loss, 0); !next.Again {
			t.Errorf("after %v: %+v; want another replica", loss, next)
		}
	}
}

func TestForwardBounds(t *testing.T) {
	t.Run("runs", func(t *testing.T) {
		f := attempt.NewForward(attempt.ForwardSpec{Repeatable: true, Runs: 2, Placements: 9}, roomyBudget())
		f.Placed()
		if !f.Lost(attempt.LossFailed, 0).Again {
			t.Fatal("no second run of two")
		}
		f.Placed()
		if next := f.Lost(attempt.LossFailed, 0); next.Again || next.NotRun {
			t.Fatalf("after two runs of two: %+v", next)
		}
	})
	t.Run("deadline", func(t *testing.T) {
		f := attempt.NewForward(attempt.ForwardSpec{Repeatable: true, Runs: 2, Placements: 9, Deadline: time.Second}, roomyBudget())
		f.Placed()
		if next := f.Lost(attempt.LossNotRun, time.Second); next.Again || !next.NotRun {
			t.Fatalf("at the deadline: %+v", next)
		}
	})
	t.Run("budget", func(t *testing.T) {
		f := attempt.NewForward(attempt.ForwardSpec{Repeatable: true, Runs: 2, Placements: 9}, attempt.NewBudget(attempt.BudgetParams{}))
		f.Placed()
		if next := f.Lost(attempt.LossNotRun, 0); next.Again || !next.NotRun {
			t.Fatalf("with nothing in the budget: %+v", next)
		}
	})
}

// However losses fall, a request that may have run is never said not to have, one
// that may not be repeated is handed on at most once after it may have run, and no
// request runs more often than allowed.
func TestForwardKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := attempt.ForwardSpec{
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Runs:       rapid.IntRange(1, 4).Draw(t, "runs"),
			Placements: rapid.IntRange(1, 6).Draw(t, "placements"),
		}
		f := attempt.NewForward(spec, roomyBudget())
		mayHaveRun, runs := false, 0
		for {
			if mayHaveRun && !spec.Repeatable {
				t.Fatal("handed on though it may have run and may not be repeated")
			}
			f.Placed()
			loss := rapid.SampledFrom([]attempt.Loss{
				attempt.LossNotSent, attempt.LossNotRun, attempt.LossUnknown, attempt.LossFailed,
			}).Draw(t, "loss")
			if loss == attempt.LossUnknown || loss == attempt.LossFailed {
				mayHaveRun = true
				runs++
			}
			next := f.Lost(loss, 0)
			if next.NotRun && mayHaveRun {
				t.Fatal("said not to have run though it may have")
			}
			if !next.Again {
				break
			}
		}
		if runs > spec.Runs {
			t.Fatalf("ran %d times of %d", runs, spec.Runs)
		}
	})
}
