package endpoint

import (
	"skylarklead/internal/protocol"
	"skylarklead/internal/telemetry"
)

// recordEnd logs and counts how an attempt ended.
func (e *Endpoint) recordEnd(a *execution, end protocol.End) {
	reason := string(end.Code)
	if end.Code == protocol.CodeNone {
		reason = string(end.Outcome)
	}
	e.tel.Decisions.Record(protocol.DecisionRecord{
		Request:         a.run.Request,
		Kind:            telemetry.KindRun,
		Organisation:    a.run.Organisation,
		Owner:           a.run.Owner,
		Executor:        e.settings.ID,
		Reason:          reason,
		PredictedCached: a.predictedCached,
		ActualCached:    end.CachedTokens,
		Outcome:         end.Outcome,
	})
	if end.Code != protocol.CodeNone {
		e.tel.Metrics.Refused(end.Code)
	}
	if end.Outcome != protocol.Done {
		return
	}
	e.tel.Metrics.Completed.Mark(1)
	e.tel.Metrics.Tokens.Mark(int64(end.CompletionTokens))
	e.tel.Metrics.Prompt(end.PromptTokens, end.CachedTokens, a.predictedCached)
}
