package telemetry

import "skylarklead/internal/wire"

// LogKeyStatus logs when peers begin to refuse this process's fleet key, and when one
// takes it. It is called after each look at the peers, one call at a time.
func (t *Telemetry) LogKeyStatus(openings *wire.Handshakes) {
	refusers, news := openings.RefusalsChanged()
	switch {
	case !news:
	case len(refusers) == 0:
		t.Log.Info("fleet key accepted", "setting", "fleet_key")
	default:
		t.Log.Error("fleet key refused by each peer that answered; not ready until one takes it",
			"setting", "fleet_key", "refused_by", refusers, "do", "compare fleet_key (or fleet_keys) with theirs, then restart")
	}
}
