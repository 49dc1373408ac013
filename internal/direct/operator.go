package direct

import (
	"context"

	"skylarklead/internal/fleet"
)

// followOperator keeps the configuration and the wanted versions of weights.
func (e *Entry) followOperator(ctx context.Context) {
	topic, _ := e.platform.Records.Topics()
	f := newFollower(e.platform.Store, topic, e.tel.Log)
	f.keyed, f.wait = true, operatorWait
	f.record = e.takeOperator
	f.whole = func(page fleet.Page) {
		for _, r := range page.Records {
			e.takeOperator(r)
		}
	}
	f.run(ctx)
}

func (e *Entry) takeOperator(r fleet.Record) {
	if r.Value == nil {
		e.tel.Log.Warn("operator's record removed; what it said stays in force", "key", r.Key, "offset", r.Offset)
		return
	}
	config, wanted, err := e.platform.Records.Operator(r.Key, r.Value)
	switch {
	case err != nil:
		e.tel.Metrics.Count("records_malformed", 1)
		e.tel.Log.Error("operator's record skipped; the last good one stays in force", "key", r.Key, "offset", r.Offset, "error", err)
	case config != nil:
		e.takeConfiguration(config, r.Offset)
	case wanted != nil:
		e.takeWanted(wanted, r.Offset)
	default:
		e.tel.Log.Info("operator's record of an unknown kind skipped", "key", r.Key, "offset", r.Offset)
	}
}

// takeConfiguration puts a configuration in force. Versions only go forward: a
// store that serves stale reads for a while, or answers that arrive out of order,
// would otherwise bring back a route or key that was taken away.
func (e *Entry) takeConfiguration(c *fleet.Configuration, offset uint64) {
	old := e.state.config.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	e.state.config.Store(&configuration{Configuration: c, at: e.clock.now()})
	e.state.mu.Lock()
	e.state.signal()
	e.state.mu.Unlock()
	var before uint64
	if old != nil {
		before = old.Version
	}
	e.tel.Log.Info("configuration in force", "version", c.Version, "before", before, "offset", offset,
		"routes", len(c.Routes), "services", len(c.Services), "organisations", len(c.Organisations), "keys", len(c.Keys))
}

func (e *Entry) takeWanted(w *fleet.Wanted, offset uint64) {
	e.state.mu.Lock()
	before := e.state.wanted[w.Model]
	if w.Version > before {
		e.state.wanted[w.Model] = w.Version
	}
	e.state.mu.Unlock()
	if w.Version <= before {
		return
	}
	e.tel.Log.Info("weights wanted", "model", w.Model, "version", w.Version, "before", before, "offset", offset)
	e.rollouts.poke()
}
