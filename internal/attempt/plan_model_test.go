package attempt

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"skylarklead/internal/protocol"
)

// modelExecutor models an endpoint process as a plan sees it. Messages in its inbox
// may be read long after the session that delivered them was lost.
type modelExecutor struct {
	epoch    protocol.Epoch
	registry *Registry
	inbox    []Run
	running  []protocol.AttemptID
	down     bool
}

// planModel holds one request's plan, its executors and the messages in transit.
type planModel struct {
	t              *rapid.T
	now            time.Duration
	plan           *Plan
	executors      []*modelExecutor
	pendingActions []Action
	events         []Event
	dispatched     map[protocol.AttemptID]bool
	runs           int
	finish         *Finish
	epochs         protocol.Epoch
}

func newPlanModel(t *rapid.T, spec PlanSpec) *planModel {
	w := &planModel{t: t, now: time.Second, dispatched: map[protocol.AttemptID]bool{}}
	for range 3 {
		w.executors = append(w.executors, &modelExecutor{})
		w.restart(len(w.executors) - 1)
	}
	rng := rand.New(rand.NewPCG(uint64(rapid.IntRange(0, 1<<20).Draw(t, "seed")), 1))
	w.plan = NewPlan(spec, DefaultPlanParams, NewBudget(DefaultBudgetParams), rng)
	w.queueActions(w.plan.Begin(w.now))
	return w
}

func (w *planModel) restart(i int) {
	w.epochs++
	*w.executors[i] = modelExecutor{epoch: w.epochs, registry: NewRegistry(time.Hour)}
}

func (w *planModel) queueActions(actions []Action) {
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
		w.pendingActions = append(w.pendingActions, a)
	}
}

func (w *planModel) apply(e Event) { w.queueActions(w.plan.Step(e, w.now)) }

// act carries out the oldest action. draw selects its result: 0 and other low values
// are failures, 9 is success.
func (w *planModel) act(draw int) {
	if len(w.pendingActions) == 0 {
		return
	}
	action := w.pendingActions[0]
	w.pendingActions = w.pendingActions[1:]
	switch a := action.(type) {
	case Ask:
		w.ask(draw)
	case Run:
		w.runAt(a, draw)
	case Resolve:
		w.reach(a.Target, a.Attempt, draw, func(e *modelExecutor) {
			w.events = append(w.events, Resolved{Epoch: e.epoch, Answer: e.registry.Resolve(a.Attempt, w.now)})
		})
	case Resume:
		w.reach(a.Target, a.Attempt, draw, func(e *modelExecutor) {
			w.apply(ResumeOpened{Attempt: a.Attempt})
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

func (w *planModel) ask(draw int) {
	switch draw {
	case 0:
		w.apply(AskFailed{})
	case 1:
		w.apply(DecisionReceived{Decision: &protocol.Decision{Refusal: &protocol.Refusal{Code: protocol.CodeOverloaded, Ran: protocol.NotRun}}})
	default:
		i := rapid.IntRange(0, len(w.executors)-1).Draw(w.t, "executor")
		w.apply(DecisionReceived{Decision: &protocol.Decision{Executor: protocol.Target{Endpoint: fmt.Sprint(i)}}})
	}
}

func (w *planModel) at(target protocol.Target) *modelExecutor {
	var i int
	fmt.Sscan(target.Endpoint, &i)
	return w.executors[i]
}

func (w *planModel) runAt(r Run, draw int) {
	e := w.at(r.Target)
	if draw == 0 || e.down {
		w.apply(NotSent{Attempt: r.Attempt})
		return
	}
	w.apply(Sent{Attempt: r.Attempt, Epoch: e.epoch})
	if draw != 1 { // otherwise the write is lost
		e.inbox = append(e.inbox, r)
	}
	if draw == 3 {
		e.inbox = append(e.inbox, r) // duplicated in transit
	}
	if draw == 1 || draw == 2 {
		w.events = append(w.events, SessionLost{Attempt: r.Attempt})
	}
}

func (w *planModel) reach(target protocol.Target, a protocol.AttemptID, draw int, do func(*modelExecutor)) {
	e := w.at(target)
	switch {
	case draw <= 1 || e.down:
		w.apply(ResumeFailed{Attempt: a})
	case e.epoch != target.Epoch && draw > 3: // otherwise it answers for its predecessor
		w.apply(ResumeFailed{Attempt: a, EpochGone: true})
	default:
		do(e)
	}
}

// receive lets an executor read the oldest Run in its inbox.
func (w *planModel) receive(i, draw int) {
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
	case w.plan.spec.Keyed && w.runs > 0: // the claims let only one attempt run
		end := protocol.End{Attempt: r.Attempt, Outcome: protocol.Unknown, Code: protocol.CodeUnknownOutcome}
		if draw > 4 {
			end.Outcome, end.Code = protocol.Done, protocol.CodeKeyConflict
		}
		e.registry.End(r.Attempt, end.Outcome, w.now)
		w.end(e, end)
	case draw == 0:
		e.registry.End(r.Attempt, protocol.NotRun, w.now)
		w.end(e, protocol.End{Attempt: r.Attempt, Outcome: protocol.NotRun, Code: protocol.CodeDraining})
	case draw == 1 && !r.Redirected:
		e.registry.End(r.Attempt, protocol.NotRun, w.now)
		w.end(e, protocol.End{Attempt: r.Attempt, Outcome: protocol.NotRun, Redirect: &protocol.Target{Endpoint: fmt.Sprint((i + 1) % 3)}})
	default:
		w.dispatched[r.Attempt] = true
		w.runs++
		e.running = append(e.running, r.Attempt)
		w.events = append(w.events, Started{Attempt: r.Attempt})
	}
}

func (w *planModel) end(e *modelExecutor, end protocol.End) {
	w.events = append(w.events, Ended{Epoch: e.epoch, End: &end})
}

func (w *planModel) complete(i, draw int) {
	e := w.executors[i]
	if len(e.running) == 0 {
		return
	}
	a := e.running[0]
	e.running = e.running[1:]
	end := protocol.End{Attempt: a, Outcome: protocol.Done}
	if draw == 0 {
		end.Outcome, end.EngineCrashed = protocol.Unknown, true
	}
	e.registry.End(a, end.Outcome, w.now)
	w.end(e, end)
}

func (w *planModel) step(kind string, draw int) {
	i := rapid.IntRange(0, len(w.executors)-1).Draw(w.t, "which")
	switch kind {
	case "act":
		w.act(draw)
	case "news": // the plan receives the oldest event
		if len(w.events) > 0 {
			e := w.events[0]
			w.events = w.events[1:]
			w.apply(e)
		}
	case "lost news": // the oldest event is lost with its session
		if len(w.events) > 0 {
			w.events = w.events[1:]
			w.apply(SessionLost{Attempt: w.plan.Attempt()})
		}
	case "double news": // the oldest event is delivered twice
		if len(w.events) > 0 {
			w.apply(w.events[0])
		}
	case "receive":
		w.receive(i, draw)
	case "complete":
		w.complete(i, draw)
	case "restart":
		w.restart(i)
		w.events = append(w.events, SessionLost{Attempt: w.plan.Attempt()})
	case "cut":
		w.apply(SessionLost{Attempt: w.plan.Attempt()})
	case "down":
		w.executors[i].down = !w.executors[i].down
	case "deadline":
		if draw == 0 {
			w.apply(DeadlinePassed{})
		}
	case "entry ends":
		if draw == 0 {
			w.apply(EntryEnds{})
		}
	case "hang up":
		if draw == 0 {
			w.apply(CallerGone{})
			w.apply(GraceExpired{})
		}
	}
	w.now += 10 * time.Millisecond
}

func (w *planModel) check(spec PlanSpec) {
	if !spec.Repeatable && w.runs > 1 {
		w.t.Fatalf("a request that may not be repeated ran %d times", w.runs)
	}
	if w.finish == nil {
		return
	}
	if r := w.finish.Refusal; r != nil && r.Ran == protocol.NotRun && w.runs > 0 {
		w.t.Fatalf("not_run (%s) reported for a request that ran %d times", r.Code, w.runs)
	}
	if r := w.finish.Refusal; r != nil && r.Ran == protocol.Done && w.runs == 0 {
		w.t.Fatalf("done (%s) reported for a request that did not run", r.Code)
	}
	if w.finish.Refusal == nil && w.finish.End.Outcome != protocol.Done {
		w.t.Fatalf("finished by %+v", w.finish.End)
	}
}

// settle delivers everything in transit without further failures.
func (w *planModel) settle(spec PlanSpec) {
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
