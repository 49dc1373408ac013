package endpoint

import "skylarklead/internal/wire"

func (e *Endpoint) status() *wire.Status {
	return &wire.Status{
		Identity: e.identity(),
		Leaving:  e.drain.leaving,
		InFlight: e.attempts.inFlight(),
		UptimeMs: e.now().Milliseconds(),
	}
}
