package entry

import (
	"context"
	"sync"
	"sync/atomic"

	"skylarklead/internal/config"
	"skylarklead/internal/platform"
	"skylarklead/internal/wire"
)

// configStream is the log's stream of operators' records.
const configStream = "config"

// configuration follows the accepted configuration.
type configuration interface {
	// State is the newest accepted state, nil before the first.
	State() *config.State
	// Ready is closed when there is a first state.
	Ready() <-chan struct{}
	// Source says where the state came from, LogReachable whether the log answers.
	Source() string
	LogReachable() bool
	// Fetch answers a peer's ConfigFetch.
	Fetch(f *wire.ConfigFetch) (*wire.ConfigState, error)
	// Run follows until ctx ends.
	Run(ctx context.Context) error
}

// logTail follows the log alone.
type logTail struct {
	log   *platform.Log
	state atomic.Pointer[config.State]
	ready chan struct{}
	once  sync.Once
}

func newConfiguration(e *Entry) (configuration, error) {
	return &logTail{log: platform.NewLog(e.settings.Platform.Log), ready: make(chan struct{})}, nil
}

func (t *logTail) State() *config.State   { return t.state.Load() }
func (t *logTail) Ready() <-chan struct{} { return t.ready }
func (t *logTail) Source() string         { return "log" }
func (t *logTail) LogReachable() bool     { return t.state.Load() != nil }

func (t *logTail) Fetch(f *wire.ConfigFetch) (*wire.ConfigState, error) {
	s := t.state.Load()
	if s == nil || s.Offset <= f.After {
		return &wire.ConfigState{}, nil
	}
	data, err := config.EncodeState(s)
	return &wire.ConfigState{Offset: s.Offset, State: data}, err
}

func (t *logTail) Run(ctx context.Context) error {
	state := config.NewState()
	return t.log.Tail(ctx, configStream, 1, func(r platform.Record) error {
		state, _ = state.Apply(r.Offset, r.Data)
		t.state.Store(state)
		t.once.Do(func() { close(t.ready) })
		return nil
	})
}
