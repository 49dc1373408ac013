package attempt

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"skylarklead/internal/protocol"
)

// Symptom: a payment is made twice; a request that ran is called not_run; a
// caller waits for ever.
// Sequence: sessions are cut before and after a Run arrives, its answer is lost
// or doubled, executors restart, redirect, crash, can't be reached; the caller
// hangs up or its deadline passes.
// Cause looked for: taking silence, or another epoch's word, for not_run.
func TestPlanOutcomesAreTrue(t *testing.T) {
	kinds := []string{
		"nothing", "act", "act", "act", "news", "news", "lost news", "double news", "receive", "receive", "receive",
		"complete", "complete", "restart", "cut", "down", "deadline", "hang up",
	}
	rapid.Check(t, func(t *rapid.T) {
		spec := rapid.SampledFrom([]PlanSpec{{Continuable: true}, {Repeatable: true, Continuable: true}, {Keyed: true}}).Draw(t, "spec")
		w := newPlanWorld(t, spec)
		for range 60 {
			w.step(rapid.SampledFrom(kinds).Draw(t, "step"), rapid.IntRange(0, 9).Draw(t, "luck"))
			w.check(spec)
		}
		w.settle(spec)
		if limit := DefaultPlanParams.MaxRuns + 1; w.runs > limit { // the last one may be redirected
			t.Fatalf("%d runs", w.runs)
		}
	})
}

func TestPlanGivesUpAtOnceWithWhenToComeBack(t *testing.T) {
	budget := NewBudget(DefaultBudgetParams)
	p := NewPlan(PlanSpec{Repeatable: true, Continuable: true}, DefaultPlanParams, budget, rand.New(rand.NewPCG(1, 1)))
	p.Begin(0)
	var last []Action
	for i := range DefaultPlanParams.MaxCrashes {
		run := p.Step(DecisionReceived{Decision: &protocol.Decision{Executor: protocol.Target{Endpoint: fmt.Sprint(i)}}}, 0)[0].(Run)
		p.Step(Sent{Attempt: run.Attempt, Epoch: 1}, 0)
		last = p.Step(Ended{Epoch: 1, End: &protocol.End{Attempt: run.Attempt, Outcome: protocol.Unknown, EngineCrashed: true}}, 0)
	}
	finish, ok := last[0].(Finish)
	if !ok || finish.Refusal.Code != protocol.CodeGivenUp || finish.Refusal.RetryAfterMs == 0 || finish.Refusal.Ran != protocol.Unknown {
		t.Fatalf("after %d crashes: %+v", DefaultPlanParams.MaxCrashes, last)
	}
}

// Symptom: a payment whose executor was killed is answered unknown_outcome although
// it had run and that is on the log, or had not been claimed at all.
// Sequence: the executor is killed; the entry learns that its epoch is gone.
// Cause: a keyed request given up at the first loss, with the claims not asked.
func TestPlanSendsAKeyedRequestAgainAfterALoss(t *testing.T) {
	p := NewPlan(PlanSpec{Keyed: true}, DefaultPlanParams, NewBudget(DefaultBudgetParams), rand.New(rand.NewPCG(1, 1)))
	p.Begin(0)
	run := p.Step(DecisionReceived{Decision: &protocol.Decision{}}, 0)[0].(Run)
	p.Step(Sent{Attempt: run.Attempt, Epoch: 1}, 0)
	p.Step(SessionLost{Attempt: run.Attempt}, 0)
	if _, ok := p.Step(ResumeFailed{Attempt: run.Attempt, EpochGone: true}, 0)[0].(Ask); !ok {
		t.Fatal("not sent again")
	}
	again := p.Step(DecisionReceived{Decision: &protocol.Decision{}}, 0)[0].(Run)
	p.Step(Sent{Attempt: again.Attempt, Epoch: 1}, 0)
	refused := &protocol.End{Attempt: again.Attempt, Outcome: protocol.NotRun, Code: protocol.CodeLogUnavailable}
	if f := p.Step(Ended{Epoch: 1, End: refused}, 0)[0].(Finish); f.Refusal.Ran != protocol.Unknown {
		t.Errorf("the first sending may have run, but %s is said", f.Refusal.Ran)
	}
}

func TestPlanSaysDoneOfALostAnswerOnlyWhenItWasSaid(t *testing.T) {
	for _, test := range []struct {
		answer protocol.Resolved
		want   protocol.Outcome
	}{
		{protocol.Resolved{Outcome: protocol.Done}, protocol.Done},
		{protocol.Resolved{Outcome: protocol.Unknown, Running: true}, protocol.Unknown},
	} {
		p := NewPlan(PlanSpec{}, DefaultPlanParams, NewBudget(DefaultBudgetParams), rand.New(rand.NewPCG(1, 1)))
		p.Begin(0)
		run := p.Step(DecisionReceived{Decision: &protocol.Decision{}}, 0)[0].(Run)
		p.Step(Sent{Attempt: run.Attempt, Epoch: 1}, 0)
		p.Step(SessionLost{Attempt: run.Attempt}, 0)
		test.answer.Attempt = run.Attempt
		p.Step(Resolved{Epoch: 1, Answer: &test.answer}, 0)
		f := p.Step(ResumeFailed{Attempt: run.Attempt, EpochGone: true}, 0)[0].(Finish)
		if f.Refusal.Ran != test.want {
			t.Errorf("after %+v: %s is said, want %s", test.answer, f.Refusal.Ran, test.want)
		}
	}
}

// Symptom: a payment is called not_run and was made.
// Sequence: its executor is killed while it runs it; the process that comes back
// at the same address says not_run of an attempt that it has never seen.
// Cause: an end taken without a look at the epoch that speaks.
func TestPlanDoesNotBelieveAnotherEpoch(t *testing.T) {
	for name, word := range map[string]func(protocol.AttemptID) Event{
		"an end": func(a protocol.AttemptID) Event {
			return Ended{Epoch: 2, End: &protocol.End{Attempt: a, Outcome: protocol.NotRun}}
		},
		"resolved": func(a protocol.AttemptID) Event {
			return Resolved{Epoch: 2, Answer: &protocol.Resolved{Attempt: a, Outcome: protocol.NotRun}}
		},
	} {
		p := NewPlan(PlanSpec{}, DefaultPlanParams, NewBudget(DefaultBudgetParams), rand.New(rand.NewPCG(1, 1)))
		p.Begin(0)
		run := p.Step(DecisionReceived{Decision: &protocol.Decision{}}, 0)[0].(Run)
		p.Step(Sent{Attempt: run.Attempt, Epoch: 1}, 0)
		p.Step(SessionLost{Attempt: run.Attempt}, 0)
		out := p.Step(word(run.Attempt), 0)
		if f, ok := out[0].(Finish); !ok || f.Refusal.Ran != protocol.Unknown || f.Refusal.Code != protocol.CodeUnknownOutcome {
			t.Errorf("%s: got %+v", name, out)
		}
	}
}

// Symptom: a caller waits until its deadline for an executor that is gone.
// Sequence: its host is lost; nothing answers at its address any more.
// Cause: tries to resolve or resume without a bound.
func TestPlanStopsTryingToReachALostExecutor(t *testing.T) {
	for _, test := range []struct {
		repeatable bool
		tries      int
		want       string
	}{
		{true, DefaultPlanParams.ResumeTries, "[attempt.Cancel attempt.Ask]"},
		{false, DefaultPlanParams.ResolveTries, "[attempt.Finish]"},
	} {
		p := NewPlan(PlanSpec{Repeatable: test.repeatable}, DefaultPlanParams, NewBudget(DefaultBudgetParams), rand.New(rand.NewPCG(1, 1)))
		p.Begin(0)
		run := p.Step(DecisionReceived{Decision: &protocol.Decision{}}, 0)[0].(Run)
		p.Step(Sent{Attempt: run.Attempt, Epoch: 1}, 0)
		out := p.Step(SessionLost{Attempt: run.Attempt}, 0)
		for range test.tries {
			out = p.Step(ResumeFailed{Attempt: run.Attempt}, 0)
		}
		var types []string
		for _, a := range out {
			types = append(types, fmt.Sprintf("%T", a))
		}
		if got := fmt.Sprint(types); got != test.want {
			t.Errorf("repeatable %v, after %d tries: %s", test.repeatable, test.tries, got)
		}
	}
}

// Symptom: one request goes round all endpoints of a group that drain or fail.
// Cause: a budget that has saved up, and no bound for the one request.
func TestPlanBoundsTheRunsOfOneRequest(t *testing.T) {
	p := NewPlan(PlanSpec{Repeatable: true}, DefaultPlanParams, NewBudget(DefaultBudgetParams), rand.New(rand.NewPCG(1, 1)))
	out := p.Begin(0)
	runs := 0
	for !p.Final() {
		if _, ok := out[0].(Ask); !ok {
			t.Fatalf("got %+v", out)
		}
		run := p.Step(DecisionReceived{Decision: &protocol.Decision{}}, 0)[0].(Run)
		runs++
		p.Step(Sent{Attempt: run.Attempt, Epoch: 1}, 0)
		out = p.Step(Ended{Epoch: 1, End: &protocol.End{Attempt: run.Attempt, Outcome: protocol.NotRun, Code: protocol.CodeDraining}}, 0)
	}
	if runs != DefaultPlanParams.MaxRuns || out[0].(Finish).Refusal.Ran != protocol.NotRun {
		t.Errorf("%d runs, then %+v", runs, out[0])
	}
}

func TestPlanGoesOnFromWhatTheCallerHas(t *testing.T) {
	for _, test := range []struct {
		name string
		spec PlanSpec
		want string
	}{
		{"a completion is continued", PlanSpec{Repeatable: true, Continuable: true}, "attempt.Ask"},
		{"a service's answer that was begun isn't", PlanSpec{Repeatable: true}, "attempt.Finish"},
		{"nor is a call that may not be repeated", PlanSpec{Continuable: true}, "attempt.Finish"},
	} {
		p := NewPlan(test.spec, DefaultPlanParams, NewBudget(DefaultBudgetParams), rand.New(rand.NewPCG(1, 1)))
		p.Begin(0)
		run := p.Step(DecisionReceived{Decision: &protocol.Decision{Executor: protocol.Target{Endpoint: "a"}}}, 0)[0].(Run)
		p.Step(Sent{Attempt: run.Attempt, Epoch: 1}, 0)
		p.Step(Started{Attempt: run.Attempt}, 0)
		p.Step(ChunkDelivered{Next: 7}, 0)
		resume := p.Step(SessionLost{Attempt: run.Attempt}, 0)[0].(Resume)
		if resume.Seq != 7 {
			t.Errorf("%s: resumed from %d", test.name, resume.Seq)
		}
		out := p.Step(ResumeFailed{Attempt: run.Attempt, EpochGone: true}, 0)
		if got := fmt.Sprintf("%T", out[0]); got != test.want {
			t.Errorf("%s: got %s", test.name, got)
		}
		if ask, ok := out[0].(Ask); ok && (len(ask.Exclude) != 1 || ask.Exclude[0] != "a") {
			t.Errorf("%s: excluded %v", test.name, ask.Exclude)
		}
		if again := p.Step(DecisionReceived{Decision: &protocol.Decision{Executor: protocol.Target{Endpoint: "b"}}}, 0); len(again) > 0 && again[0].(Run).FirstSeq != 7 {
			t.Errorf("%s: %+v", test.name, again)
		}
	}
}
