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
	// behindTimeout bounds the wait for a configuration as new as a Run's, and
	// behindPause the pause between looks.
	behindTimeout = 2 * time.Second
	behindPause   = 20 * time.Millisecond
)

// empty stands for the configuration before there is any.
var empty = config.NewState()

// state is the newest accepted configuration; it is shared.
func (e *Endpoint) state() *config.State {
	if s := e.config.State(); s != nil {
		return s
	}
	return empty
}

// heardOffset notes the configuration that a peer has. One that is cut off from
// the log would otherwise go on by what operators have already replaced.
func (e *Endpoint) heardOffset(s *wire.Session, offset uint64) {
	e.config.PeerHasOffset(offset, follow.SessionFetch(s))
}

// onConfigFetch answers a peer that is behind. Encoding a large state takes too
// long for the loop.
func (e *Endpoint) onConfigFetch(s *wire.Session, ref uint32, m *protocol.ConfigFetch) {
	go func() {
		answer, err := e.config.Fetch(m)
		if err != nil {
			e.log.Warn("configuration not told to a peer", "peer", s.Peer().ID, "error", err)
			refusal := protocol.Refusal{Code: protocol.CodeInternal, Message: err.Error(), Ran: protocol.NotRun}
			e.reply(s, ref, &protocol.Failure{Refusal: refusal})
			return
		}
		e.reply(s, ref, answer)
	}()
}

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
		e.end(a, protocol.End{Outcome: protocol.NotRun, Code: protocol.CodeNotRun, Message: "configuration is behind the entry's"})
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
func (e *Endpoint) prompt(run *protocol.Run) []prefix.Message {
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
