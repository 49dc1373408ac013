package endpoint

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"skylarklead/internal/engine"
	"skylarklead/internal/protocol"
)

const (
	// engineResumes is how often in a row a stream's lost connection is made
	// again, resumePause the pause between.
	engineResumes = 5
	resumePause   = 100 * time.Millisecond
	// resumeBound is how long that may go on. A refused connection fails at once,
	// but each try at a stopped engine takes the wait for its header, and the
	// caller of a cut stream waits for them all.
	resumeBound = 3 * time.Second
	// engineSilence is how long a begun answer may pause before its connection is
	// made again. An engine that is stopped, or whose host is cut off, sends no
	// reset: the stream would hang to its caller's deadline though another
	// endpoint could go on with it. To a live engine, asking again is harmless.
	engineSilence = 2 * time.Second
	// silentWait bounds in all how long what can't be run elsewhere waits for a
	// silent engine: one whose host is gone never answers, and a drain would not
	// end.
	silentWait    = time.Minute
	cancelTimeout = 2 * time.Second
)

var (
	errCrashed = errors.New("endpoint: engine crashed")
	// errOtherWeights is an answer that began under weights other than asked for.
	errOtherWeights = errors.New("endpoint: engine has other weights")
)

// completion is one run at the engine.
type completion struct {
	job
	engine     *engine.Client
	id         string
	end        protocol.End
	firstToken func()
}

// runCompletion runs a prompt at the engine and returns how it ended.
func (e *Endpoint) runCompletion(ctx context.Context, j job) protocol.End {
	c := &completion{job: j, engine: e.engine, id: streamName(j.run)}
	c.firstToken = func() { e.tel.Metrics.FirstToken(j.run.Organisation, time.Since(j.begun)) }
	st, err := c.engine.Complete(ctx, c.request())
	if errors.Is(err, engine.ErrNotRun) {
		var refused *engine.RefusedError
		switch {
		case !errors.As(err, &refused):
			e.loop.must(func() { e.engineUnreachable(err) })
		case refused.Backoff() > 0:
			e.loop.must(func() { e.engineRests(refused.Backoff()) })
		}
		return c.notRun(err)
	}
	if err != nil && ctx.Err() == nil {
		// The answer's header was lost, but the engine may live and have it.
		st, err = c.resume(ctx, 0)
	}
	if err == nil && st.Weights != "" && j.run.Version != "" && st.Weights != j.run.Version {
		st.Close()
		err = errOtherWeights
	}
	if err == nil {
		j.stream.begin(0, "")
		err = c.follow(ctx, st)
	}
	return c.ended(ctx, err)
}

// streamName names a run at the engine. One that doesn't begin with its answer's
// first piece says so: after a restart nothing else here tells the number of a
// stream's first piece.
func streamName(run *protocol.Run) string {
	if run.FirstSeq == 0 {
		return run.Attempt.String()
	}
	return run.Attempt.String() + "." + strconv.FormatUint(run.FirstSeq, 10)
}

func (c *completion) request() engine.Request {
	return engine.Request{
		ID:         c.id,
		Model:      c.run.Model,
		Messages:   c.messages,
		Partial:    c.run.Partial,
		MaxTokens:  c.run.MaxTokens,
		Priority:   c.priority,
		CacheSalt:  c.run.Organisation,
		Parameters: c.run.Parameters,
	}
}

// notRun tells why the engine didn't take a request.
func (c *completion) notRun(err error) protocol.End {
	end := protocol.End{Outcome: protocol.NotRun, Code: protocol.CodeNotRun, Message: "engine is not ready"}
	var refused *engine.RefusedError
	if errors.As(err, &refused) {
		end.RetryAfterMs = refused.RetryAfter.Milliseconds()
		if refused.Code == engine.CodeBadRequest {
			end.Code, end.Message = protocol.CodeBadRequest, refused.Message
		}
	}
	return end
}

// follow reads the stream to its end, and through losses of the connection that
// the engine outlives. It returns nil at the explicit end.
func (c *completion) follow(ctx context.Context, st *engine.Stream) error {
	for {
		c.incarnation = st.Incarnation
		err := c.read(st)
		st.Close()
		if !errors.Is(err, engine.ErrOutcomeUnknown) || ctx.Err() != nil {
			return err
		}
		if st, err = c.resume(ctx, st.NextSeq()); err != nil {
			return err
		}
	}
}

// resume goes on with the stream at the engine. A stream of another incarnation
// is refused: its events would be another run's.
//
// A frozen engine answers nothing, and what can't be run elsewhere waits for it:
// given up after a few tries, it would end unknown though its answer is there.
func (c *completion) resume(ctx context.Context, from uint64) (*engine.Stream, error) {
	var err error
	begun := time.Now()
	bound := silentWait
	if c.repeatable {
		bound = resumeBound
	}
	for tries := 0; tries < engineResumes && time.Since(begun) < bound; {
		var st *engine.Stream
		st, err = c.engine.Resume(ctx, c.id, from)
		switch {
		case err == nil && c.incarnation != "" && st.Incarnation != c.incarnation:
			st.Close()
			return nil, errCrashed
		case err == nil:
			return st, nil
		case errors.Is(err, engine.ErrStreamGone), ctx.Err() != nil:
			return nil, err
		}
		if c.repeatable || !engine.IsTimeout(err) {
			tries++
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(resumePause):
		}
	}
	if engine.IsTimeout(err) {
		return nil, err
	}
	return nil, errors.Join(errCrashed, err)
}

func (c *completion) read(st *engine.Stream) error {
	silence := time.AfterFunc(engineSilence, func() { st.Close() })
	defer silence.Stop()
	for {
		if st.NextSeq() == 0 {
			silence.Stop() // queueing and prefill may take long
		} else {
			silence.Reset(engineSilence)
		}
		event, err := st.Next()
		silence.Stop() // a slow caller is no silence of the engine's
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := c.take(event); err != nil {
			return err
		}
	}
}

func (c *completion) take(event engine.Event) error {
	if event.FinishReason != "" {
		c.end.FinishReason = event.FinishReason
	}
	if u := event.Usage; u != nil {
		c.end.PromptTokens = u.PromptTokens
		c.end.CachedTokens = u.PromptTokensDetails.CachedTokens
		c.end.CompletionTokens = u.CompletionTokens
	}
	if event.Text == "" {
		return nil
	}
	if c.firstToken != nil {
		c.firstToken()
		c.firstToken = nil
	}
	return c.stream.add([]byte(event.Text))
}

func (c *completion) ended(ctx context.Context, err error) protocol.End {
	end := c.end
	if err == nil {
		end.Outcome = protocol.Done
		return end
	}
	end.Outcome = protocol.Unknown
	end.Code = protocol.CodeUnknownOutcome
	switch {
	case errors.Is(context.Cause(ctx), errFrozen):
		end.Message = "engine doesn't answer" // it is cancelled once it does
	case ctx.Err() != nil:
		end.Code = protocol.CodeCanceled
		c.cancelAtEngine()
	case errors.Is(err, errCut):
		end.Code, end.Message = protocol.CodeCanceled, "the caller stopped reading"
		c.cancelAtEngine()
	case errors.Is(err, errOtherWeights):
		end.Message = "engine has other weights"
		c.cancelAtEngine()
	case errors.Is(err, engine.ErrMalformed):
		end.Message = "engine's answer is malformed"
		c.cancelAtEngine()
	default:
		end.EngineCrashed = c.crashed(err)
		end.Message = "engine was lost"
	}
	return end
}

// crashed reports whether the engine that ran this was lost. One that lives and
// merely has no such stream has not crashed, nor has one that keeps silent;
// nothing is held against the request then.
func (c *completion) crashed(err error) bool {
	if errors.Is(err, errCrashed) {
		return true
	}
	ctx, stop := context.WithTimeout(context.Background(), loadTimeout)
	defer stop()
	load, err := c.engine.Load(ctx)
	if err != nil {
		return !engine.IsTimeout(err)
	}
	return c.incarnation != "" && load.Incarnation != c.incarnation
}

// cancelAtEngine frees the engine from a stream that nobody reads.
func (c *completion) cancelAtEngine() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	// On failure the engine ends the stream itself after its resume time.
	_ = c.engine.Cancel(ctx, c.id)
}
