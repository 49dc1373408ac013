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

// callCost is the cost of a plain service's call in the fair queue, in tokens.
const callCost = 1

// enqueue puts an attempt into the admission queue, or ends it if the request is
// known as poison.
func (e *Endpoint) enqueue(a *execution) {
	now := e.now()
	if a.run.Suspect {
		e.mergeCrashCount(a.run.Fingerprint, attempt.DefaultPoisonParams.ExclusiveFrom())
	}
	verdict := e.poison.Judge(a.run.Fingerprint, now)
	if verdict.Kind == attempt.VerdictGivenUp && a.run.Call == nil {
		e.end(a, endFromRefusal(verdict.Refusal()))
		return
	}
	item := admit.Item{
		ID:             a.id,
		Organisation:   a.run.Organisation,
		Priority:       a.run.Priority,
		MaxTokens:      max(a.run.MaxTokens, callCost),
		UncachedTokens: e.estimateUncached(a),
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
	e.performAdmission(e.admission.Arrive(now, item))
	if e.backlogTrigger.ShouldReport(now, e.admission.Summary().QueuedTokens) {
		e.sendHeartbeatToAll()
	}
}

// backlogsElsewhere counts the other endpoints of the group that reported a backlog
// of an organisation within SuspectAfter.
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

// estimateUncached records how much of a prompt the engine is expected to hold, and
// returns the tokens that it will have to compute.
func (e *Endpoint) estimateUncached(a *execution) int {
	if a.run.Call != nil {
		return callCost
	}
	salt := prefix.Salt{Organisation: a.run.Organisation, Model: a.run.Model, Weights: a.run.Version}
	a.chain = prefix.Chain(salt.Root(), prefix.Flatten(a.messages))
	a.predictedCached, _ = e.cacheView.Resident(a.chain)
	e.cacheView.Track(route.OwnerKey(a.run.Organisation, a.run.Model, a.run.Levels), a.run.Levels)
	partial := len(a.run.Partial) / prefix.BytesPerToken
	return max(0, prefix.EstimateTokens(a.messages)+partial-a.predictedCached)
}

// performAdmission carries out the actions of the admission core.
func (e *Endpoint) performAdmission(actions []admit.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case admit.Start:
			a := e.executions[action.ID]
			a.phase = phaseAdmitted
			a.enginePriority = action.EnginePriority
			e.admitted = append(e.admitted, a)
		case admit.Refuse:
			e.end(e.executions[action.ID], protocol.End{
				Outcome:      protocol.NotRun,
				Code:         action.Code,
				Message:      action.Reason,
				RetryAfterMs: action.RetryAfter.Milliseconds(),
			})
		}
	}
	e.startAdmitted()
}

// startAdmitted sends admitted attempts to the back end, as far as poison suspects
// allow: one of those runs alone.
func (e *Endpoint) startAdmitted() {
	if e.weights.loading {
		return // the engine would refuse them while it loads weights
	}
	admitted := e.admitted
	e.admitted = nil
	for _, a := range admitted {
		if a.phase != phaseAdmitted {
			continue
		}
		if reason := e.startRefusal(a); reason != "" {
			end := protocol.End{Outcome: protocol.NotRun, Code: protocol.CodeNotRun, Message: reason, RetryAfterMs: e.backoffLeft().Milliseconds()}
			end.Redirect = e.redirect(a.run)
			e.refuseAdmitted(a, end)
			continue
		}
		switch e.startDecision(a) {
		case attempt.StartNow:
			e.start(a)
		case attempt.StartWait:
			e.admitted = append(e.admitted, a)
		case attempt.StartRefused:
			e.refuseAdmitted(a, endFromRefusal(e.poison.Judge(a.run.Fingerprint, e.now()).Refusal()))
		}
	}
}

// refuseAdmitted ends an admitted attempt that was not sent to the back end.
func (e *Endpoint) refuseAdmitted(a *execution, end protocol.End) {
	e.end(a, end)
	e.performAdmission(e.admission.Finish(e.now(), a.id, admit.Actual{}))
}

// startRefusal returns why an admitted attempt can't be sent to the engine now, ""
// if it can.
func (e *Endpoint) startRefusal(a *execution) string {
	switch {
	case e.watch.freeze.active:
		return "engine doesn't answer"
	case e.backoffLeft() > 0:
		return "engine asked for a backoff"
	case e.weightsChanged(a):
		return "engine has other weights than requested"
	}
	return ""
}

// weightsChanged reports whether the engine has other weights than the request was
// routed for. The answer would come from a version that the request didn't ask for.
func (e *Endpoint) weightsChanged(a *execution) bool {
	return a.run.Call == nil && a.run.Version != "" && e.watch.version != "" && a.run.Version != e.watch.version
}

func (e *Endpoint) startDecision(a *execution) attempt.StartDecision {
	if a.run.Call != nil {
		return attempt.StartNow
	}
	return e.poison.Start(a.run.Fingerprint, e.now())
}

// onRunEnded handles the end of an attempt's run on the back end.
func (e *Endpoint) onRunEnded(a *execution, end protocol.End) {
	now := e.now()
	if a.run.Call == nil {
		if verdict := e.poison.Judge(a.run.Fingerprint, now); end.EngineCrashed && verdict.Kind == attempt.VerdictGivenUp {
			refusal := verdict.Refusal()
			end.Code, end.Message, end.RetryAfterMs = refusal.Code, refusal.Message, refusal.RetryAfterMs
		}
		e.recordRunEnd(a, end)
		e.reconcileCache(a, end)
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
	e.performAdmission(e.admission.Finish(now, a.id, actual))
}

// reconcileCache corrects the cache view by the cached tokens that an answer reports.
func (e *Endpoint) reconcileCache(a *execution, end protocol.End) {
	if end.PromptTokens == 0 {
		return
	}
	e.cacheView.Reconcile(a.revision, a.chain, end.CachedTokens)
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

// withdraw takes an attempt that hasn't been sent to the back end out of admission.
func (e *Endpoint) withdraw(a *execution) {
	switch a.phase {
	case phaseWaiting:
		if key, ok := keyDigest(a.run.Key); ok {
			e.claims.once.Withdraw(key, a.id)
		}
		e.performAdmission(e.admission.Cancel(e.now(), a.id))
	case phaseAdmitted:
		e.admitted = slices.DeleteFunc(e.admitted, func(b *execution) bool { return a == b })
		e.poison.Withdraw(a.run.Fingerprint)
		e.performAdmission(e.admission.Finish(e.now(), a.id, admit.Actual{}))
	}
}

func endFromRefusal(r *protocol.Refusal) protocol.End {
	return protocol.End{Outcome: r.Ran, Code: r.Code, Message: r.Message, RetryAfterMs: r.RetryAfterMs}
}
