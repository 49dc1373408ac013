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

// adoptTimeout bounds finding an orphan at the engine and reading up to the
// requested chunk. The engine has all of that in memory.
const adoptTimeout = 2 * time.Second

var (
	errOtherOrganisation = errors.New("endpoint: stream belongs to another organisation")
	errAlreadyAdopted    = errors.New("endpoint: stream already adopted")
)

// orphan is a stream that an earlier epoch of this process began and that the
// engine still generates. The first chunk of its attempt is its first text: a
// continuation has another name at the engine (streamName).
type orphan struct {
	completion
	engineStream *engine.Stream
	ctx          context.Context
	stop         context.CancelCauseFunc
}

// mayAdopt reports whether a resume that matches no execution may refer to an orphan.
func (e *Endpoint) mayAdopt(m *protocol.Resume) bool {
	return e.executions[m.Attempt] == nil && m.Epoch != e.tel.Epoch && e.service == nil && m.Organisation != ""
}

// adopt looks for the stream at the engine. It runs off the loop.
func (e *Endpoint) adopt(s *wire.Session, m *protocol.Resume) {
	o, err := e.findOrphan(m)
	e.loop.postUnbounded(func() {
		if err == nil {
			err = e.addAdopted(s, m, o)
		}
		if err != nil {
			e.log.Debug("stream not adopted", "attempt", m.Attempt.String(), "error", err)
			e.refuseResume(s, m)
		}
	})
}

// findOrphan opens the engine's stream and reads up to the requested chunk. Knowing
// an attempt's ID gives no access: IDs appear in logs, and whoever reads one there could
// otherwise get another organisation's answer. The engine knows the salt that the stream was
// begun with; only the organisation of that salt gets the stream.
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
		return nil, o.release(errOtherOrganisation)
	}
	if err := o.skip(m.Seq); err != nil {
		return nil, o.release(err)
	}
	return o, nil
}

// skip reads the chunks that the caller already has.
func (o *orphan) skip(chunks uint64) error {
	for chunks > 0 {
		event, err := o.engineStream.Next()
		if err != nil {
			return fmt.Errorf("endpoint: adopt: %w", err)
		}
		if event.FinishReason != "" {
			o.end.FinishReason = event.FinishReason
		}
		if event.Text != "" {
			chunks--
		}
	}
	return nil
}

// release closes the connection without ending the stream at the engine: it may
// belong to another caller. It returns cause.
func (o *orphan) release(cause error) error {
	o.engineStream.Close()
	o.stop(cause)
	return cause
}

// addAdopted registers an orphan as an execution. It takes no admission slot and
// isn't tracked for crashes: the engine accepted it under the earlier epoch, and
// counts it in its load report.
func (e *Endpoint) addAdopted(s *wire.Session, m *protocol.Resume, o *orphan) error {
	if e.executions[m.Attempt] != nil { // adopted through another entry meanwhile
		_ = o.release(errAlreadyAdopted)
		e.onResume(s, m)
		return nil
	}
	if e.registry.Arrive(m.Attempt, e.now()) != attempt.ArrivalNew {
		return o.release(errAlreadyAdopted)
	}
	a := e.addExecution(s, &protocol.Run{
		Attempt:      m.Attempt,
		Request:      m.Attempt.String(),
		Organisation: m.Organisation,
		Group:        e.settings.Endpoint.Group,
		FirstSeq:     m.Seq,
		Window:       m.Window,
	})
	a.phase, a.stop, a.adoptedFrom = phaseRunning, o.stop, m.Epoch
	o.job = job{run: a.run, stream: a.stream, startedAt: time.Now()}
	e.log.Info("stream adopted", "attempt", a.id.String(), "organisation", m.Organisation, "seq", m.Seq)
	go func() {
		defer o.stop(nil)
		a.stream.start(0, "")
		end := o.result(o.ctx, o.readToEnd(o.ctx, o.engineStream))
		e.loop.postUnbounded(func() { e.end(a, end) })
	}()
	return nil
}
