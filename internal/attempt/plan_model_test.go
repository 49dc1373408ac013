package attempt

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/protocol"
)

// modelExecutor is an endpoint process as a plan meets it. Its inbox may be read
// long after the session that filled it was lost.
type modelExecutor struct {
	epoch    protocol.Epoch
	registry *Registry
	inbox    []Run
	running  []protocol.AttemptID
	down     bool
}

// planWorld is one request's plan, its executors and what is under way.
type planWorld struct {
	t         *rapid.T
	now       time.Duration
	plan      *Plan
	executors []*modelExecutor
	todo      []Action
	events    []Event
	handed    map[protocol.AttemptID]bool
	runs      int
	finish    *Finish
	epochs    protocol.Epoch
}

func newPlanWorld(t *rapid.T, spec PlanSpec) *planWorld {
	w := &planWorld{t: t, now: time.Second, handed: map[protocol.AttemptID]bool{}}
	for range 3 {
		w.executors = append(w.executors, &modelExecutor{})
		w.restart(len(w.executors) - 1)
	}
	rng := rand.New(rand.NewPCG(uint64(rapid.IntRange(0, 1<<20).Draw(t, "seed")), 1))
	w.plan = NewPlan(spec, DefaultPlanParams, NewBudget(DefaultBudgetParams), rng)
	w.take(w.plan.Begin(w.now))
	return w
}

func (w *planWorld) restart(i int) {
	w.epochs++
	*w.executors[i] = modelExecutor{epoch: w.epochs, registry: NewRegistry(time.Hour)}
}

func (w *planWorld) take(actions []Action) {
	for _, a := range actions {
		if f, ok := a.(Finish); ok {
			if w.finish != nil {
				w.t.Fatalf("finished twice")
			}
			w.finish = &f
			continue
		}
		if w.finish != nil {
			w.t.Fatalf("%T after the final answer", a)
		}
		w.todo = append(w.todo, a)
	}
}

func (w *planWorld) event(e Event) { w.take(w.plan.Step(e, w.now)) }

// act carries out the oldest action, with good or bad luck.
func (w *planWorld) act(luck int) {
	if len(w.todo) == 0 {
		return
	}
	action := w.todo[0]
	w.todo = w.todo[1:]
	switch a := action.(type) {
	case Ask:
		w.ask(luck)
	case Run:
		w.runAt(a, luck)
	case Resolve:
		w.reach(a.Target, a.Attempt, luck, func(e *modelExecutor) {
			w.events = append(w.events, Resolved{Epoch: e.epoch, Answer: e.registry.Resolve(a.Attempt, w.now)})
		})
	case Resume:
		w.reach(a.Target, a.Attempt, luck, func(e *modelExecutor) {
			w.event(ResumeOpened{Attempt: a.Attempt})
			known, ok := e.registry.attempts[a.Attempt]
			if !ok || known.state != attemptRunning {
				outcome := protocol.Unknown
				if ok {
					outcome = known.outcome
				}
				w.end(e, protocol.End{Attempt: a.Attempt, Outcome: outcome})
			}
		})
	}
}

func (w *planWorld) ask(luck int) {
	switch luck {
	case 0:
		w.event(AskFailed{})
	case 1:
		w.event(DecisionReceived{Decision: &protocol.Decision{Refusal: &protocol.Refusal{Code: protocol.CodeOverloaded, Ran: protocol.NotRun}}})
	default:
		i := rapid.IntRange(0, len(w.executors)-1).Draw(w.t, "executor")
		w.event(DecisionReceived{Decision: &protocol.Decision{Executor: protocol.Target{Endpoint: fmt.Sprint(i)}}})
	}
}

func (w *planWorld) at(target protocol.Target) *modelExecutor {
	var i int
	fmt.Sscan(target.Endpoint, &i)
	return w.executors[i]
}

func (w *planWorld) runAt(r Run, luck int) {
	e := w.at(r.Target)
	if luck == 0 || e.down {
		w.event(NotSent{Attempt: r.Attempt})
		return
	}
	w.event(Sent{Attempt: r.Attempt, Epoch: e.epoch})
	if luck != 1 { // else the write is lost
		e.inbox = append(e.inbox, r)
	}
	if luck == 3 {
		e.inbox = append(e.inbox, r) // doubled on its way
	}
	if luck == 1 || luck == 2 {
		w.events = append(w.events, SessionLost{Attempt: r.Attempt})
	}
}

func (w *planWorld) reach(target protocol.Target, a protocol.AttemptID, luck int, do func(*modelExecutor)) {
	e := w.at(target)
	switch {
	case luck <= 1 || e.down:
		w.event(ResumeFailed{Attempt: a})
	case e.epoch != target.Epoch && luck > 3: // else it answers for its predecessor
		w.event(ResumeFailed{Attempt: a, EpochGone: true})
	default:
		do(e)
	}
}

// receive lets an executor read the oldest Run of its inbox.
func (w *planWorld) receive(i, luck int) {
	e := w.executors[i]
	if len(e.inbox) == 0 {
		return
	}
	r := e.inbox[0]
	e.inbox = e.inbox[1:]
	if e.registry.Arrive(r.Attempt, w.now) != ArrivalNew {
		return
	}
	switch {
	case w.plan.spec.Keyed && w.runs > 0: // the claims let one sending run
		end := protocol.End{Attempt: r.Attempt, Outcome: protocol.Unknown, Code: protocol.CodeUnknownOutcome}
		if luck > 4 {
			end.Outcome, end.Code = protocol.Done, protocol.CodeKeyConflict
		}
		e.registry.End(r.Attempt, end.Outcome, w.now)
		w.end(e, end)
	case luck == 0:
		e.registry.End(r.Attempt, protocol.NotRun, w.now)
		w.end(e, protocol.End{Attempt: r.Attempt, Outcome: protocol.NotRun, Code: protocol.CodeDraining})
	case luck == 1 && !r.Redirected:
		e.registry.End(r.Attempt, protocol.NotRun, w.now)
		w.end(e, protocol.End{Attempt: r.Attempt, Outcome: protocol.NotRun, Redirect: &protocol.Target{Endpoint: fmt.Sprint((i + 1) % 3)}})
	default:
		w.handed[r.Attempt] = true
		w.runs++
		e.running = append(e.running, r.Attempt)
		w.events = append(w.events, Started{Attempt: r.Attempt})
	}
}

func (w *planWorld) end(e *modelExecutor, end protocol.End) {
	w.events = append(w.events, Ended{Epoch: e.epoch, End: &end})
}

func (w *planWorld) complete(i, luck int) {
	e := w.executors[i]
	if len(e.running) == 0 {
		return
	}
	a := e.running[0]
	e.running = e.running[1:]
	end := protocol.End{Attempt: a, Outcome: protocol.Done}
	if luck == 0 {
		end.Outcome, end.EngineCrashed = protocol.Unknown, true
	}
	e.registry.End(a, end.Outcome, w.now)
	w.end(e, end)
}

func (w *planWorld) step(kind string, luck int) {
	i := rapid.IntRange(0, len(w.executors)-1).Draw(w.t, "which")
	switch kind {
	case "act":
		w.act(luck)
	case "news":
		if len(w.events) > 0 {
			e := w.events[0]
			w.events = w.events[1:]
			w.event(e)
		}
	case "lost news":
		if len(w.events) > 0 {
			w.events = w.events[1:]
			w.event(SessionLost{Attempt: w.plan.Attempt()})
		}
	case "double news":
		if len(w.events) > 0 {
			w.event(w.events[0])
		}
	case "receive":
		w.receive(i, luck)
	case "complete":
		w.complete(i, luck)
	case "restart":
		w.restart(i)
		w.events = append(w.events, SessionLost{Attempt: w.plan.Attempt()})
	case "cut":
		w.event(SessionLost{Attempt: w.plan.Attempt()})
	case "down":
		w.executors[i].down = !w.executors[i].down
	case "deadline":
		if luck == 0 {
			w.event(DeadlinePassed{})
		}
	case "hang up":
		if luck == 0 {
			w.event(CallerGone{})
			w.event(GraceExpired{})
		}
	}
	w.now += 10 * time.Millisecond
}

func (w *planWorld) check(spec PlanSpec) {
	if !spec.Repeatable && w.runs > 1 {
		w.t.Fatalf("a request that may not be repeated ran %d times", w.runs)
	}
	if w.finish == nil {
		return
	}
	if r := w.finish.Refusal; r != nil && r.Ran == protocol.NotRun && w.runs > 0 {
		w.t.Fatalf("not_run (%s) said of a request that ran %d times", r.Code, w.runs)
	}
	if r := w.finish.Refusal; r != nil && r.Ran == protocol.Done && w.runs == 0 {
		w.t.Fatalf("done (%s) said of a request that did not run", r.Code)
	}
	if w.finish.Refusal == nil && w.finish.End.Outcome != protocol.Done {
		w.t.Fatalf("finished by %+v", w.finish.End)
	}
}

// settle lets all that is under way arrive, with good luck from here on.
func (w *planWorld) settle(spec PlanSpec) {
	for range 300 {
		w.act(9)
		w.step("news", 9)
		for i, e := range w.executors {
			e.down = false
			w.receive(i, 9)
			w.complete(i, 9)
		}
		w.check(spec)
	}
	if w.finish == nil {
		w.t.Fatalf("the caller has no answer: phase %d", w.plan.phase)
	}
}
