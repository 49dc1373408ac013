package endpoint

import (
	"skylarklead/internal/telemetry"
	"skylarklead/internal/wire"
)

// onAsk decides, as an owner, where a request runs.
func (e *Endpoint) onAsk(s *wire.Session, ref uint32, ask *wire.Ask) {
	decision := &wire.Decision{
		Request:  ask.Request,
		Owner:    e.settings.ID,
		Executor: wire.Target{Endpoint: e.settings.ID, Address: e.settings.Advertise, Epoch: e.tel.Epoch},
		Reason:   "owner",
	}
	e.tel.Decisions.Record(wire.DecisionRecord{
		Request:         ask.Request,
		Kind:            telemetry.KindRoute,
		Organisation:    ask.Organisation,
		Owner:           e.settings.ID,
		Executor:        decision.Executor.Endpoint,
		Reason:          decision.Reason,
		PredictedCached: decision.PredictedCached,
		Candidates:      decision.Candidates,
	})
	e.reply(s, ref, decision)
}
