package endpoint

import "skylarklead/internal/protocol"

// status returns what skylarkctl shows of this process.
func (e *Endpoint) status() *protocol.Status {
	now := e.now()
	status := &protocol.Status{
		Identity:      e.identity(),
		Leaving:       e.drain.leaving,
		ConfigOffset:  e.state().Offset,
		ConfigSource:  e.config.Source(),
		LogReachable:  e.config.LogReachable(),
		Load:          e.load(),
		InFlight:      e.executions.inFlight(),
		UptimeMs:      now.Milliseconds(),
		UnknownSchema: len(e.state().Opaque),
		NotReady:      e.notReadyReason(),
	}
	for _, m := range e.group.view.Members(now) {
		status.Members = append(status.Members, protocol.MemberStatus{
			ID:            m.ID,
			State:         m.State.String(),
			AgeMs:         (now - m.Since).Milliseconds(),
			Address:       m.Address,
			Group:         m.Group,
			FailureDomain: m.FailureDomain,
		})
	}
	return status
}
