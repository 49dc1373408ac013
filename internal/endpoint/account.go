package endpoint

import (
	"skylarklead/internal/telemetry"
	"skylarklead/internal/wire"
)

// account logs and counts how an attempt ended.
func (e *Endpoint) account(a *execution, end wire.End) {
	reason := string(end.Code)
	if end.Code == wire.CodeNone {
		reason = string(end.Outcome)
	}
	e.tel.Decisions.Record(wire.DecisionRecord{
		Request:         a.run.Request,
		Kind:            telemetry.KindRun,
		Organisation:    a.run.Organisation,
		Owner:           a.run.Owner,
		Executor:        e.settings.ID,
		Reason:          reason,
		PredictedCached: a.predicted,
		ActualCached:    end.CachedTokens,
		Outcome:         end.Outcome,
	})
	if end.Code != wire.CodeNone {
		e.tel.Metrics.Refused(end.Code)
	}
	if end.Outcome != wire.Done {
		return
	}
	e.tel.Metrics.Completed.Mark(1)
	e.tel.Metrics.Tokens.Mark(int64(end.CompletionTokens))
	e.tel.Metrics.Prompt(end.PromptTokens, end.CachedTokens, a.predicted)
}
