package direct

// cancelBackedUp ends the runs with a backup at an incarnation that is known to have ended.
func (m *replicaMonitor) cancelBackedUp(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for x := range m.inFlight {
		if x.backedUp && x.replica.ID == id {
			x.replicaEnded = true
			x.cancel()
		}
	}
}

// replicaEnded reports whether a run was cancelled because its replica has ended.
func (m *replicaMonitor) replicaEnded(x *inFlightRequest) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return x.replicaEnded
}
