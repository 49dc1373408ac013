package attempt

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"skylarklead/internal/protocol"
)

// Guards against a payment that is made twice, a request that ran and is reported as
// not_run, and a caller that never gets an answer. Sessions are cut before and after a
// Run arrives, its answer is lost or duplicated, executors restart, redirect, crash or
// are unreachable, and the caller disconnects or its deadline passes. Fault to detect:
// treating silence, or the answer of another epoch, as not_run.
func TestPlanOutcomesAreTrue(t *testing.T) {
	kinds := []string{
		"nothing", "act", "act", "act", "news", "news", "lost news", "double news", "receive", "receive", "receive",
		"complete", "complete", "restart", "cut", "down", "deadline", "hang up", "entry ends",
	}
	rapid.Check(t, func(t *rapid.T) {
		spec := rapid.SampledFrom([]PlanSpec{{Continuable: true}, {Repeatable: true, Continuable: true}, {Keyed: true}}).Draw(t, "spec")
		w := newPlanModel(t, spec)
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

// Guards against unknown_outcome for a payment whose executor was killed, although the
// log shows that it ran, or it was never claimed: after the loss of an executor a
// keyed request has to be sent again, so that the claims are consulted.
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
		t.Errorf("the first attempt may have run, but %s is reported", f.Refusal.Ran)
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
			t.Errorf("after %+v: %s is reported, want %s", test.answer, f.Refusal.Ran, test.want)
		}
	}
}

// Guards against reporting not_run for a payment that was made: its executor is killed
// while running it, and the process restarted at the same address reports not_run for
// an attempt that it has never seen. The epoch of an End has to be checked.
func TestPlanDoesNotBelieveAnotherEpoch(t *testing.T) {
	for name, answer := range map[string]func(protocol.AttemptID) Event{
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
		out := p.Step(answer(run.Attempt), 0)
		if f, ok := out[0].(Finish); !ok || f.Refusal.Ran != protocol.Unknown || f.Refusal.Code != protocol.CodeUnknownOutcome {
			t.Errorf("%s: got %+v", name, out)
		}
	}
}

// Guards against a caller that waits until its deadline for an executor whose host is
// lost: the tries to resolve or resume have to be bounded.
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

// Guards against a request that is tried at every endpoint of a group that drains or
// fails: a full budget alone doesn't bound the runs of one request.
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
