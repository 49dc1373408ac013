package endpoint

import (
	"slices"
	"time"

	"skylarklead/internal/admit"
	"skylarklead/internal/attempt"
	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
	"skylarklead/internal/route"
)

// callCost stands for a plain service's call in the fair queue, in tokens.
const callCost = 1

// arrive lets an attempt wait for its turn.
func (e *Endpoint) arrive(a *execution) {
	now := e.now()
	if a.run.Suspect {
		e.struck(a.run.Fingerprint, attempt.DefaultPoisonParams.ExclusiveFrom())
	}
	verdict := e.poison.Judge(a.run.Fingerprint, now)
	if verdict.Kind == attempt.VerdictGivenUp && a.run.Call == nil {
		e.end(a, endOf(verdict.Refusal()))
		return
	}
	item := admit.Item{
		ID:             a.id,
		Organisation:   a.run.Organisation,
		Priority:       a.run.Priority,
		MaxTokens:      max(a.run.MaxTokens, callCost),
		UncachedTokens: e.predict(a),
		Exclusive:      a.run.Call == nil && (a.run.Suspect || verdict.Kind == attempt.VerdictExclusive),
	}
	if a.run.Call != nil {
		item.ExpectedTokens = callCost
	}
	if o := e.state().Organisations[a.run.Organisation]; o != nil {
		item.Weight = o.Weight
		item.MaxInFlight = o.MaxInFlight
	}
	item.BacklogsElsewhere = e.backlogsElsewhere(a.run.Organisation)
	if a.run.DeadlineMs > 0 {
		item.Deadline = now + time.Duration(a.run.DeadlineMs)*time.Millisecond
	}
	e.perform(e.admission.Arrive(now, item))
	if e.backlog.ShouldReport(now, e.admission.Summary().QueuedTokens) {
		e.beatAll()
	}
}

// backlogsElsewhere counts the other endpoints of the group that have told of a
// backlog of an organisation.
func (e *Endpoint) backlogsElsewhere(organisation string) int {
	hash, count := route.OrganisationHash(organisation), 0
	since := e.now() - e.settings.Endpoint.SuspectAfter.D()
	for _, p := range e.group.peers {
		if p.hasLoad && p.loadAt >= since && slices.Contains(p.load.Heavy, hash) {
			count++
		}
	}
	return count
}

// predict notes what the engine is believed to hold of a prompt, and returns
// the tokens that it will have to compute.
func (e *Endpoint) predict(a *execution) int {
	if a.run.Call != nil {
		return callCost
	}
	salt := prefix.Salt{Organisation: a.run.Organisation, Model: a.run.Model, Weights: a.run.Version}
	a.chain = prefix.Chain(salt.Root(), prefix.Flatten(a.messages))
	a.predicted, _ = e.picture.Resident(a.chain)
	e.picture.Track(route.OwnerKey(a.run.Organisation, a.run.Model, a.run.Levels), a.run.Levels)
	partial := len(a.run.Partial) / prefix.BytesPerToken
	return max(0, prefix.EstimateTokens(a.messages)+partial-a.predicted)
}

// perform does what the admission core asks for.
func (e *Endpoint) perform(actions []admit.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case admit.Start:
			a := e.executions[action.ID]
			a.phase = phaseHeld
			a.enginePriority = action.EnginePriority
			e.held = append(e.held, a)
		case admit.Refuse:
			e.end(e.executions[action.ID], protocol.End{
				Outcome:      protocol.NotRun,
				Code:         action.Code,
				Message:      action.Reason,
				RetryAfterMs: action.RetryAfter.Milliseconds(),
			})
		}
	}
	e.startHeld()
}

// startHeld hands admitted attempts to the back end, as far as suspects allow:
// one of them runs alone.
func (e *Endpoint) startHeld() {
	if e.placement.loading {
		return // the engine would refuse them
	}
	held := e.held
	e.held = nil
	for _, a := range held {
		if a.phase != phaseHeld {
			continue
		}
		if why := e.notForEngine(a); why != "" {
			end := protocol.End{Outcome: protocol.NotRun, Code: protocol.CodeNotRun, Message: why, RetryAfterMs: e.restLeft().Milliseconds()}
			end.Redirect = e.redirect(a.run)
			e.dismiss(a, end)
			continue
		}
		switch e.guard(a) {
		case attempt.StartNow:
			e.start(a)
		case attempt.StartWait:
			e.held = append(e.held, a)
		case attempt.StartRefused:
			e.dismiss(a, endOf(e.poison.Judge(a.run.Fingerprint, e.now()).Refusal()))
		}
	}
}

// dismiss ends an admitted attempt that was not handed to the back end.
func (e *Endpoint) dismiss(a *execution, end protocol.End) {
	e.end(a, end)
	e.perform(e.admission.Finish(e.now(), a.id, admit.Actual{}))
}

// notForEngine returns why an admitted attempt isn't handed over, empty if it is.
func (e *Endpoint) notForEngine(a *execution) string {
	switch {
	case e.watch.freeze.on:
		return "engine doesn't answer"
	case e.restLeft() > 0:
		return "engine rests"
	case e.otherWeights(a):
		return "engine has other weights"
	}
	return ""
}

// otherWeights reports whether the engine's weights have changed since the
// request was sent here. It would be answered by a version that it didn't ask
// for.
func (e *Endpoint) otherWeights(a *execution) bool {
	return a.run.Call == nil && a.run.Version != "" && e.watch.version != "" && a.run.Version != e.watch.version
}

func (e *Endpoint) guard(a *execution) attempt.StartDecision {
	if a.run.Call != nil {
		return attempt.StartNow
	}
	return e.poison.Start(a.run.Fingerprint, e.now())
}

// finished takes an attempt off the back end.
func (e *Endpoint) finished(a *execution, end protocol.End) {
	now := e.now()
	if a.run.Call == nil {
		if verdict := e.poison.Judge(a.run.Fingerprint, now); end.EngineCrashed && verdict.Kind == attempt.VerdictGivenUp {
			refusal := verdict.Refusal()
			end.Code, end.Message, end.RetryAfterMs = refusal.Code, refusal.Message, refusal.RetryAfterMs
		}
		e.offEngine(a, end)
		e.learn(a, end)
	}
	ran := end.Outcome != protocol.NotRun
	if a.run.Call == nil && end.Code == protocol.CodeNotRun {
		end.Redirect = e.redirect(a.run)
	}
	actual := admit.Actual{
		UncachedTokens: max(0, end.PromptTokens-end.CachedTokens),
		OutputTokens:   end.CompletionTokens,
		Ran:            ran,
	}
	e.end(a, end)
	e.perform(e.admission.Finish(now, a.id, actual))
}

// learn corrects the cache picture by an answer's own account.
func (e *Endpoint) learn(a *execution, end protocol.End) {
	if end.PromptTokens == 0 {
		return
	}
	e.picture.Reconcile(a.mark, a.chain, end.CachedTokens)
	e.router.RequestFinished(e.now(), route.Outcome{
		Endpoint:     e.settings.ID,
		Epoch:        e.tel.Epoch,
		Organisation: a.run.Organisation,
		Levels:       a.run.Levels,
		CachedTokens: end.CachedTokens,
		PromptTokens: end.PromptTokens,
		Ran:          true,
	})
}

// withdraw takes an attempt that hasn't been handed over out of the queue.
func (e *Endpoint) withdraw(a *execution) {
	switch a.phase {
	case phaseWaiting:
		if key, ok := keyDigest(a.run.Key); ok {
			e.claims.once.Withdraw(key, a.id)
		}
		e.perform(e.admission.Cancel(e.now(), a.id))
	case phaseHeld:
		e.held = slices.DeleteFunc(e.held, func(b *execution) bool { return a == b })
		e.poison.Withdraw(a.run.Fingerprint)
		e.perform(e.admission.Finish(e.now(), a.id, admit.Actual{}))
	}
}

func endOf(r *protocol.Refusal) protocol.End {
	return protocol.End{Outcome: r.Ran, Code: r.Code, Message: r.Message, RetryAfterMs: r.RetryAfterMs}
}
