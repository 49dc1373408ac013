package telemetry

import "skylarklead/internal/wire"

// LogKeyStatus logs when peers begin to refuse this process's fleet key and when one
// accepts it again. Call it after each refresh of the list of peers, never concurrently.
func (t *Telemetry) LogKeyStatus(handshakes *wire.Handshakes) {
	refusers, changed := handshakes.RefusalsChanged()
	switch {
	case !changed:
	case len(refusers) == 0:
		t.Log.Info("fleet key accepted", "setting", "fleet_key")
	default:
		t.Log.Error("fleet key refused by each peer that answered; not ready until one accepts it",
			"setting", "fleet_key", "refused_by", refusers, "do", "compare fleet_key (or fleet_keys) with theirs, then restart")
	}
}
