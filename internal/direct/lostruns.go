package direct

import "skylarklead/internal/runcopy"

// cancelBackedUp ends the runs with a backup at an incarnation that is known to have ended.
func (m *replicaMonitor) cancelBackedUp(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for x := range m.inFlight {
		if x.backedUp && x.replica.ID == id {
			x.takeAway(runcopy.SourceGone)
		}
	}
}

// takeAway cancels a run because of what is known of its replica.
func (x *inFlightRequest) takeAway(state runcopy.SourceState) {
	x.takenAs = state
	x.cancel()
}

// takenAs returns why a run was cancelled, SourceUnknown if it wasn't.
func (m *replicaMonitor) takenAs(x *inFlightRequest) runcopy.SourceState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return x.takenAs
}
