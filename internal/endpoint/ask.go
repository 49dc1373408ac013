package endpoint

import (
	"slices"

	"skylarklead/internal/attempt"
	"skylarklead/internal/protocol"
	"skylarklead/internal/route"
	"skylarklead/internal/telemetry"
	"skylarklead/internal/wire"
)

// onAsk decides, as the owner of the request's prefix, where it runs.
func (e *Endpoint) onAsk(s *wire.Session, ref uint32, ask *protocol.Ask) {
	if ask.Group != e.settings.Endpoint.Group {
		refusal := protocol.Refusal{Code: protocol.CodeBadRequest, Message: "not this endpoint's group", Ran: protocol.NotRun}
		e.reply(s, ref, &protocol.Failure{Refusal: refusal})
		return
	}
	if crashes := len(ask.Crashed); crashes > 0 {
		e.mergeCrashCount(ask.Fingerprint, crashes)
	}
	e.probe(ask.Exclude, true)
	endpoints := e.endpoints()
	if version := e.fallbackVersion(ask, endpoints); version != "" {
		e.reply(s, ref, e.suggestVersion(ask, version))
		return
	}
	decision := e.decide(ask, endpoints)
	e.recordRoute(ask, decision)
	if !ask.Explain {
		// For the owner of an organisation with many requests the candidates would take
		// more traffic than everything else it sends.
		decision.Candidates = nil
	}
	e.reply(s, ref, decision)
}

// decide lets the router choose an executor, given the crashes known of the request.
func (e *Endpoint) decide(ask *protocol.Ask, endpoints []route.Endpoint) *protocol.Decision {
	now := e.now()
	verdict := e.poison.Judge(ask.Fingerprint, now)
	query := &route.Query{
		Ask:     *ask,
		Suspect: verdict.Kind == attempt.VerdictExclusive,
		Poison:  verdict.Kind == attempt.VerdictGivenUp || len(ask.Crashed) >= attempt.DefaultPoisonParams.MaxCrashes,
	}
	result := e.router.Decide(now, e.rng, query, endpoints)
	decision := &protocol.Decision{
		Request:         ask.Request,
		Owner:           e.settings.ID,
		Reason:          result.Reason,
		PredictedCached: result.PredictedCached,
		Candidates:      result.Candidates,
		Refusal:         result.Refusal,
		Suspect:         result.Suspect,
		Unavailable:     e.unavailable(),
		ConfigOffset:    e.state().Offset,
	}
	switch {
	case verdict.Kind == attempt.VerdictGivenUp:
		decision.Refusal = verdict.Refusal() // has the time after which the caller may retry
	case result.Refusal == nil:
		decision.Executor = e.target(result.Executor)
		if decision.Donor = result.Donor; decision.Donor != nil {
			decision.Donor.Target = e.target(result.Donor.Target.Endpoint)
		}
	}
	return decision
}

func (e *Endpoint) recordRoute(ask *protocol.Ask, decision *protocol.Decision) {
	reason := decision.Reason
	if decision.Refusal != nil {
		reason = string(decision.Refusal.Code)
		e.tel.Metrics.Refused(decision.Refusal.Code)
	}
	record := protocol.DecisionRecord{
		Request:         ask.Request,
		Kind:            telemetry.KindRoute,
		Organisation:    ask.Organisation,
		Owner:           e.settings.ID,
		Executor:        decision.Executor.Endpoint,
		Reason:          reason,
		PredictedCached: decision.PredictedCached,
		Candidates:      slices.Clone(decision.Candidates),
	}
	if decision.Donor != nil {
		record.Donor = decision.Donor.Target.Endpoint
	}
	e.tel.Decisions.Record(record)
}
