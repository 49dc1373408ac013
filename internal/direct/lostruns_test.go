package direct

import (
	"context"
	"errors"
	"testing"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/fleet"
	"skylarklead/internal/settings"
)

// Guards against a stream that may run once and is taken from a replica that is out of reach for a moment: it can't go
// on elsewhere, and would have gone on there.
func TestStreamsAreLeftAtReplicasOutOfReach(t *testing.T) {
	for _, c := range []struct {
		name                                 string
		backedUp, silent, repeatable, cancel bool
		failedDials                          int
	}{
		{"silent, with a backup", true, true, false, false, 2},
		{"one failed connection", true, true, false, false, 1},
		{"stream goes on", true, false, false, false, 2},
		{"silent, no backup", false, true, false, false, 2},
		{"repeatable", false, true, true, true, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEntry(&settings.Settings{ID: "entry-1", Direct: &settings.Direct{MemoryMB: 16}}, quietTelemetry(t), Platform{})
			e.state = newState("entry-1", attempt.DefaultBudgetParams)
			m := e.monitor
			r := &fleet.Replica{ID: "r", Name: "r"}
			e.state.replicas.Put(r, 1, 0)
			cancelled := false
			p := &placement{replica: r}
			if c.backedUp {
				p.backup = &runBackup{}
			}
			x := m.begin(p, c.repeatable, func() { cancelled = true })
			if c.silent {
				x.lastReceived = time.Now().Add(-2 * silenceTimeout)
			}
			for range c.failedDials {
				e.markUnreachable(r, "test", errors.New("i/o timeout"))
				now := e.clock.now()
				e.state.replicas.DueProbes(now + time.Minute)
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			m.check(ctx)
			if ended := m.replicaEnded(x); cancelled != c.cancel || ended {
				t.Errorf("cancelled %v, taken for ended %v; want %v, false", cancelled, ended, c.cancel)
			}
		})
	}
}
