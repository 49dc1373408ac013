package endpoint

import (
	"context"
	"time"

	"skylarklead/internal/config"
	"skylarklead/internal/follow"
	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
)

const (
	// configWaitTimeout bounds the wait for a configuration as new as a Run's;
	// configPollInterval is the pause between two checks.
	configWaitTimeout  = 2 * time.Second
	configPollInterval = 20 * time.Millisecond
)

// emptyConfig is the state before any configuration was received.
var emptyConfig = config.NewState()

// state returns the newest accepted configuration; it is safe for concurrent use.
func (e *Endpoint) state() *config.State {
	if s := e.config.State(); s != nil {
		return s
	}
	return emptyConfig
}

// observeOffset records the configuration offset of a peer, so that an endpoint that
// is cut off from the log fetches what operators have changed meanwhile.
func (e *Endpoint) observeOffset(s *wire.Session, offset uint64) {
	e.config.PeerHasOffset(offset, follow.SessionFetch(s))
}

// onConfigFetch answers a peer whose configuration is behind. It runs off the loop,
// since encoding a large state takes long.
func (e *Endpoint) onConfigFetch(s *wire.Session, ref uint32, m *protocol.ConfigFetch) {
	go func() {
		answer, err := e.config.Fetch(m)
		if err != nil {
			e.log.Warn("configuration not sent to a peer", "peer", s.Peer().ID, "error", err)
			refusal := protocol.Refusal{Code: protocol.CodeInternal, Message: err.Error(), Ran: protocol.NotRun}
			e.reply(s, ref, &protocol.Failure{Refusal: refusal})
			return
		}
		e.reply(s, ref, answer)
	}()
}

// awaitConfig waits until the configuration is as new as the sender's before the
// prompt is built: with older standing instructions the answer would follow rules
// that an operator has already replaced.
func (e *Endpoint) awaitConfig(a *execution) {
	if a.run.Call != nil || e.state().Offset >= a.run.ConfigOffset {
		e.prepare(a)
		return
	}
	if a.session != nil {
		e.observeOffset(a.session, a.run.ConfigOffset)
	}
	ctx, stop := context.WithTimeout(context.Background(), configWaitTimeout)
	a.stop = func(error) { stop() }
	go func() {
		defer stop()
		e.waitOffset(ctx, a.run.ConfigOffset)
		e.loop.postUnbounded(func() { e.onConfigWaited(a) })
	}()
}

func (e *Endpoint) waitOffset(ctx context.Context, offset uint64) {
	for e.state().Offset < offset {
		select {
		case <-ctx.Done():
			return
		case <-time.After(configPollInterval):
		}
	}
}

func (e *Endpoint) onConfigWaited(a *execution) {
	if a.phase != phaseWaiting {
		return // canceled meanwhile
	}
	if e.state().Offset < a.run.ConfigOffset {
		e.end(a, protocol.End{Outcome: protocol.NotRun, Code: protocol.CodeNotRun, Message: "configuration is older than the entry's"})
		return
	}
	e.prepare(a)
}

// prepare builds the whole prompt and queues the attempt.
func (e *Endpoint) prepare(a *execution) {
	if a.run.Call == nil {
		a.messages = e.fullPrompt(a.run)
	}
	e.enqueue(a)
}

// fullPrompt puts the organisation's standing instructions before the messages.
func (e *Endpoint) fullPrompt(run *protocol.Run) []prefix.Message {
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
