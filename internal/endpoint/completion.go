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
	// maxEngineResumes is how many times in a row a stream's lost connection is
	// reopened, resumeInterval the pause between two tries.
	maxEngineResumes = 5
	resumeInterval   = 100 * time.Millisecond
	// resumeTimeout bounds all of these tries together. A refused connection fails at
	// once, but each try at a stopped engine takes the whole wait for its header,
	// and the caller of the interrupted stream waits for all of them.
	resumeTimeout = 3 * time.Second
	// chunkTimeout is how long an answer that has begun may pause before its
	// connection is reopened. An engine that is stopped, or whose host is cut off,
	// sends no reset: the stream would hang until its caller's deadline although
	// another endpoint could continue it. Reopening is harmless to a live engine.
	chunkTimeout = 2 * time.Second
	// maxSilentWait bounds the whole wait of an attempt that can't be run elsewhere
	// for an engine that doesn't answer. An engine whose host is gone never answers,
	// and a drain would never end.
	maxSilentWait = time.Minute
	cancelTimeout = 2 * time.Second
)

var (
	errEngineCrashed = errors.New("endpoint: engine crashed")
	// errWeightsMismatch is for an answer that began under weights other than requested.
	errWeightsMismatch = errors.New("endpoint: engine has other weights than requested")
)

// completion is one run of a prompt at the engine.
type completion struct {
	job
	engine       *engine.Client
	id           string
	end          protocol.End
	onFirstToken func()
}

// runCompletion runs a prompt at the engine and returns how it ended.
func (e *Endpoint) runCompletion(ctx context.Context, j job) protocol.End {
	c := &completion{job: j, engine: e.engine, id: streamName(j.run)}
	c.onFirstToken = func() { e.tel.Metrics.FirstToken(j.run.Organisation, time.Since(j.startedAt)) }
	st, err := c.engine.Complete(ctx, c.request())
	if errors.Is(err, engine.ErrNotRun) {
		var refused *engine.RefusedError
		switch {
		case !errors.As(err, &refused):
			e.loop.postUnbounded(func() { e.markEngineDown(err) })
		case refused.Backoff() > 0:
			e.loop.postUnbounded(func() { e.startBackoff(refused.Backoff()) })
		}
		return c.notRunEnd(err)
	}
	if err != nil && ctx.Err() == nil {
		// The response header was lost, but the engine may be alive and running the request.
		st, err = c.resume(ctx, 0)
	}
	if err == nil && st.Weights != "" && j.run.Version != "" && st.Weights != j.run.Version {
		st.Close()
		err = errWeightsMismatch
	}
	if err == nil {
		j.stream.start(0, "")
		err = c.readToEnd(ctx, st)
	}
	return c.result(ctx, err)
}

// streamName returns the name of a run at the engine. For a run that doesn't begin
// with the answer's first chunk the name includes the first sequence number: after a
// restart of this process nothing else records it.
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

// notRunEnd returns the end for a request that the engine didn't accept.
func (c *completion) notRunEnd(err error) protocol.End {
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

// readToEnd reads the stream to its end, and reopens its connection when that is
// lost but the engine is not. It returns nil at the explicit end.
func (c *completion) readToEnd(ctx context.Context, st *engine.Stream) error {
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

// resume reopens the stream at the engine. A stream of another incarnation is
// refused: its events would belong to another run.
//
// A frozen engine answers nothing. An attempt that can't be run elsewhere waits for
// it: given up after a few tries, it would end with an unknown outcome although the
// engine has its answer.
func (c *completion) resume(ctx context.Context, from uint64) (*engine.Stream, error) {
	var err error
	started := time.Now()
	timeout := maxSilentWait
	if c.repeatable {
		timeout = resumeTimeout
	}
	for tries := 0; tries < maxEngineResumes && time.Since(started) < timeout; {
		var st *engine.Stream
		st, err = c.engine.Resume(ctx, c.id, from)
		switch {
		case err == nil && c.incarnation != "" && st.Incarnation != c.incarnation:
			st.Close()
			return nil, errEngineCrashed
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
		case <-time.After(resumeInterval):
		}
	}
	if engine.IsTimeout(err) {
		return nil, err
	}
	return nil, errors.Join(errEngineCrashed, err)
}

func (c *completion) read(st *engine.Stream) error {
	timer := time.AfterFunc(chunkTimeout, func() { st.Close() })
	defer timer.Stop()
	for {
		if st.NextSeq() == 0 {
			timer.Stop() // queueing and prefill may take long
		} else {
			timer.Reset(chunkTimeout)
		}
		event, err := st.Next()
		timer.Stop() // the time that a slow caller takes doesn't count
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := c.handleEvent(event); err != nil {
			return err
		}
	}
}

func (c *completion) handleEvent(event engine.Event) error {
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
	if c.onFirstToken != nil {
		c.onFirstToken()
		c.onFirstToken = nil
	}
	return c.stream.add([]byte(event.Text))
}

func (c *completion) result(ctx context.Context, err error) protocol.End {
	end := c.end
	if err == nil {
		end.Outcome = protocol.Done
		return end
	}
	end.Outcome = protocol.Unknown
	end.Code = protocol.CodeUnknownOutcome
	switch {
	case errors.Is(context.Cause(ctx), errFrozen):
		end.Message = "engine doesn't answer" // it is canceled at the engine once that answers again
	case ctx.Err() != nil:
		end.Code = protocol.CodeCanceled
		c.cancelAtEngine()
	case errors.Is(err, errAborted):
		end.Code, end.Message = protocol.CodeCanceled, "the caller stopped reading"
		c.cancelAtEngine()
	case errors.Is(err, errWeightsMismatch):
		end.Message = "engine has other weights than requested"
		c.cancelAtEngine()
	case errors.Is(err, engine.ErrMalformed):
		end.Message = "engine's answer is malformed"
		c.cancelAtEngine()
	default:
		end.EngineCrashed = c.crashed(err)
		end.Message = "engine was lost before the answer ended"
	}
	return end
}

// crashed reports whether the engine that ran this was lost. An engine that is alive
// but doesn't have the stream has not crashed, and neither has one that doesn't
// answer; no crash is counted against the request then.
func (c *completion) crashed(err error) bool {
	if errors.Is(err, errEngineCrashed) {
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

// cancelAtEngine cancels a stream that nobody reads, so that the engine stops
// generating it.
func (c *completion) cancelAtEngine() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	// On failure the engine ends the stream itself after its resume timeout.
	_ = c.engine.Cancel(ctx, c.id)
}
