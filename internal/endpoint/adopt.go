package endpoint

import (
	"context"
	"errors"
	"fmt"
	"time"

	"skylarklead/internal/attempt"
	"skylarklead/internal/engine"
	"skylarklead/internal/protocol"
	"skylarklead/internal/wire"
)

// adoptTimeout bounds finding an orphan at the engine and reading up to the piece
// that is asked for, all of which the engine has at hand.
const adoptTimeout = 2 * time.Second

var (
	errForeign = errors.New("endpoint: stream is another organisation's")
	errAdopted = errors.New("endpoint: stream was adopted already")
)

// orphan is a stream that an earlier epoch of this process began and that the
// engine still goes on with. Its attempt's first piece is its first text, for a
// continuation has another name at the engine (streamName).
type orphan struct {
	completion
	engineStream *engine.Stream
	ctx          context.Context
	stop         context.CancelCauseFunc
}

// mayAdopt reports whether a resume that matches no execution may be of an orphan.
func (e *Endpoint) mayAdopt(m *protocol.Resume) bool {
	return e.executions[m.Attempt] == nil && m.Epoch != e.tel.Epoch && e.service == nil && m.Organisation != ""
}

// adopt looks for the stream at the engine; it runs beside the loop.
func (e *Endpoint) adopt(s *wire.Session, m *protocol.Resume) {
	o, err := e.findOrphan(m)
	e.loop.must(func() {
		if err == nil {
			err = e.adopted(s, m, o)
		}
		if err != nil {
			e.log.Debug("stream not adopted", "attempt", m.Attempt.String(), "error", err)
			e.refuseResume(s, m)
		}
	})
}

// findOrphan opens the engine's stream and reads up to the piece that is asked
// for. The attempt's ID is no permission: it stands in logs, and whoever knows it
// could read another organisation's answer. The engine knows the salt that the
// stream was begun with; only the organisation of that salt gets it.
func (e *Endpoint) findOrphan(m *protocol.Resume) (*orphan, error) {
	o := &orphan{completion: completion{engine: e.engine, id: m.Attempt.String()}}
	o.ctx, o.stop = context.WithCancelCause(context.Background())
	timeout := time.AfterFunc(adoptTimeout, func() { o.stop(context.DeadlineExceeded) })
	defer timeout.Stop()
	var err error
	if o.engineStream, err = o.engine.Resume(o.ctx, o.id, 0); err != nil {
		o.stop(err)
		return nil, fmt.Errorf("endpoint: adopt: %w", err)
	}
	if o.engineStream.Salt != m.Organisation {
		return nil, o.leave(errForeign)
	}
	if err := o.skip(m.Seq); err != nil {
		return nil, o.leave(err)
	}
	return o, nil
}

// skip reads what the caller has.
func (o *orphan) skip(pieces uint64) error {
	for pieces > 0 {
		event, err := o.engineStream.Next()
		if err != nil {
			return fmt.Errorf("endpoint: adopt: %w", err)
		}
		if event.FinishReason != "" {
			o.end.FinishReason = event.FinishReason
		}
		if event.Text != "" {
			pieces--
		}
	}
	return nil
}

// leave lets go of the stream without ending it: it may be another's.
func (o *orphan) leave(why error) error {
	o.engineStream.Close()
	o.stop(why)
	return why
}

// adopted makes an execution of an orphan. It has no place in the admission and no
// strikes: the engine took it under the earlier epoch, and reports it in its load.
func (e *Endpoint) adopted(s *wire.Session, m *protocol.Resume, o *orphan) error {
	if e.executions[m.Attempt] != nil { // through another entry meanwhile
		_ = o.leave(errAdopted)
		e.onResume(s, m)
		return nil
	}
	if e.registry.Arrive(m.Attempt, e.now()) != attempt.ArrivalNew {
		return o.leave(errAdopted)
	}
	a := e.open(s, &protocol.Run{
		Attempt:      m.Attempt,
		Request:      m.Attempt.String(),
		Organisation: m.Organisation,
		Group:        e.settings.Endpoint.Group,
		FirstSeq:     m.Seq,
		Window:       m.Window,
	})
	a.phase, a.stop, a.adoptedFrom = phaseRunning, o.stop, m.Epoch
	o.job = job{run: a.run, stream: a.stream, begun: time.Now()}
	e.log.Info("stream adopted", "attempt", a.id.String(), "organisation", m.Organisation, "seq", m.Seq)
	go func() {
		defer o.stop(nil)
		a.stream.begin(0, "")
		end := o.ended(o.ctx, o.follow(o.ctx, o.engineStream))
		e.loop.must(func() { e.end(a, end) })
	}()
	return nil
}
