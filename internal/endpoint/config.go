package endpoint

import (
	"context"
	"sync/atomic"
	"time"

	"skylarklead/internal/config"
	"skylarklead/internal/platform"
	"skylarklead/internal/prefix"
	"skylarklead/internal/wire"
)

const (
	configStream = "config"
	// behindTimeout bounds the wait for a configuration as new as a Run's, and
	// behindPause the pause between looks.
	behindTimeout = 2 * time.Second
	behindPause   = 20 * time.Millisecond
)

// logTail follows the log alone.
type logTail struct {
	log   *platform.Log
	state atomic.Pointer[config.State]
}

func newLogTail(log *platform.Log) *logTail {
	t := &logTail{log: log}
	t.state.Store(config.NewState())
	return t
}

func (t *logTail) run(ctx context.Context) error {
	state := config.NewState()
	return t.log.Tail(ctx, configStream, 1, func(r platform.Record) error {
		state, _ = state.Apply(r.Offset, r.Data)
		t.state.Store(state)
		return nil
	})
}

// state is the newest accepted configuration; it is shared.
func (e *Endpoint) state() *config.State { return e.config.state.Load() }

// heardOffset notes the configuration that a peer has.
func (e *Endpoint) heardOffset(*wire.Session, uint64) {}

// configure makes sure that the configuration is as new as the sender's before
// the prompt is built: with older standing instructions the answer would follow
// rules that an operator has already replaced.
func (e *Endpoint) configure(a *execution) {
	if a.run.Call != nil || e.state().Offset >= a.run.ConfigOffset {
		e.prepare(a)
		return
	}
	if a.session != nil {
		e.heardOffset(a.session, a.run.ConfigOffset)
	}
	ctx, stop := context.WithTimeout(context.Background(), behindTimeout)
	a.stop = func(error) { stop() }
	go func() {
		defer stop()
		e.waitOffset(ctx, a.run.ConfigOffset)
		e.loop.must(func() { e.configured(a) })
	}()
}

func (e *Endpoint) waitOffset(ctx context.Context, offset uint64) {
	for e.state().Offset < offset {
		select {
		case <-ctx.Done():
			return
		case <-time.After(behindPause):
		}
	}
}

func (e *Endpoint) configured(a *execution) {
	if a.phase != phaseWaiting {
		return // canceled meanwhile
	}
	if e.state().Offset < a.run.ConfigOffset {
		e.end(a, wire.End{Outcome: wire.NotRun, Code: wire.CodeNotRun, Message: "configuration is behind the entry's"})
		return
	}
	e.prepare(a)
}

// prepare builds the whole prompt and lets the attempt wait for its turn.
func (e *Endpoint) prepare(a *execution) {
	if a.run.Call == nil {
		a.messages = e.prompt(a.run)
	}
	e.arrive(a)
}

// prompt puts the organisation's standing instructions before the messages.
func (e *Endpoint) prompt(run *wire.Run) []prefix.Message {
	o := e.state().Organisations[run.Organisation]
	if o == nil || run.Instructions == 0 {
		return run.Messages
	}
	messages := make([]prefix.Message, 0, len(o.Instructions)+len(run.Messages))
	for _, text := range o.Instructions {
		messages = append(messages, prefix.Message{Role: "system", Content: text})
	}
	return append(messages, run.Messages...)
}
