package endpoint

import (
	"context"
	"errors"
	"io"
	"time"

	"skylarklead/internal/engine"
	"skylarklead/internal/wire"
)

const (
	// engineResumes is how often in a row a stream's lost connection is made
	// again without a new event, resumePause the pause between.
	engineResumes = 5
	resumePause   = 100 * time.Millisecond
	cancelTimeout = 2 * time.Second
)

// completion is one run at the engine.
type completion struct {
	job
	engine *engine.Client
	id     string
	end    wire.End
}

// runCompletion runs a prompt at the engine and returns how it ended.
func (e *Endpoint) runCompletion(ctx context.Context, j job) wire.End {
	c := &completion{job: j, engine: e.engine, id: j.run.Attempt.String()}
	st, err := c.engine.Complete(ctx, e.prompt(j.run, c.id))
	if err != nil {
		return c.notBegun(ctx, err)
	}
	j.stream.begin(&wire.Start{Attempt: j.run.Attempt})
	err = c.follow(ctx, st, e.firstToken(j))
	return c.ended(ctx, err)
}

func (e *Endpoint) prompt(run *wire.Run, id string) engine.Request {
	return engine.Request{
		ID:        id,
		Model:     run.Model,
		Messages:  run.Messages,
		Partial:   run.Partial,
		MaxTokens: run.MaxTokens,
		Priority:  run.Priority,
		CacheSalt: run.Organisation,
	}
}

func (e *Endpoint) firstToken(j job) func() {
	return func() { e.tel.Metrics.FirstToken(j.run.Organisation, time.Since(j.begun)) }
}

// notBegun tells how a request ended whose answer never began.
func (c *completion) notBegun(ctx context.Context, err error) wire.End {
	if ctx.Err() != nil {
		c.cancelAtEngine()
		return wire.End{Outcome: wire.Unknown, Code: wire.CodeCanceled}
	}
	var refused *engine.RefusedError
	switch {
	case errors.As(err, &refused) && !errors.Is(err, engine.ErrLoading) && refused.Status < 500:
		return wire.End{Outcome: wire.NotRun, Code: wire.CodeBadRequest, Message: refused.Message}
	case errors.Is(err, engine.ErrNotSent):
		return wire.End{Outcome: wire.NotRun, Code: wire.CodeNotRun, Message: "engine is not ready"}
	}
	return wire.End{Outcome: wire.Unknown, Code: wire.CodeUnknownOutcome, EngineCrashed: true}
}

// follow reads the stream to its end, and through losses of the connection that
// the engine outlives. It returns nil at the explicit end.
func (c *completion) follow(ctx context.Context, st *engine.Stream, first func()) error {
	for {
		before := st.NextSeq()
		err := c.read(ctx, st, first)
		st.Close()
		if err == nil || ctx.Err() != nil || errors.Is(err, engine.ErrMalformed) {
			return err
		}
		if st.NextSeq() > 0 && before == 0 {
			first = func() {}
		}
		if st, err = c.resume(ctx, st.NextSeq(), st.Incarnation); err != nil {
			return err
		}
	}
}

var errCrashed = errors.New("endpoint: engine crashed")

// resume goes on with the stream at the engine. An engine that refuses the
// connection, has another incarnation or has lost the stream has crashed.
func (c *completion) resume(ctx context.Context, from uint64, incarnation string) (*engine.Stream, error) {
	var err error
	for range engineResumes {
		var st *engine.Stream
		st, err = c.engine.Resume(ctx, c.id, from)
		switch {
		case err == nil && st.Incarnation != incarnation:
			st.Close()
			return nil, errCrashed
		case err == nil:
			return st, nil
		case errors.Is(err, engine.ErrGone):
			return nil, errCrashed
		case ctx.Err() != nil:
			return nil, ctx.Err()
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(resumePause):
		}
	}
	return nil, errors.Join(errCrashed, err)
}

func (c *completion) read(ctx context.Context, st *engine.Stream, first func()) error {
	for {
		event, err := st.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if event.Text != "" {
			if event.Seq == 0 {
				first()
			}
			if err := c.stream.add(ctx, []byte(event.Text)); err != nil {
				return err
			}
		}
		if event.FinishReason != "" {
			c.end.FinishReason = event.FinishReason
		}
		if u := event.Usage; u != nil {
			c.end.PromptTokens = u.PromptTokens
			c.end.CachedTokens = u.PromptTokensDetails.CachedTokens
			c.end.CompletionTokens = u.CompletionTokens
		}
	}
}

func (c *completion) ended(ctx context.Context, err error) wire.End {
	end := c.end
	switch {
	case err == nil:
		end.Outcome = wire.Done
	case ctx.Err() != nil:
		c.cancelAtEngine()
		end.Outcome, end.Code = wire.Unknown, wire.CodeCanceled
	case errors.Is(err, errCrashed):
		end.Outcome, end.Code, end.EngineCrashed = wire.Unknown, wire.CodeUnknownOutcome, true
	default:
		c.cancelAtEngine()
		end.Outcome, end.Code, end.Message = wire.Unknown, wire.CodeUnknownOutcome, "engine's answer is malformed"
	}
	return end
}

// cancelAtEngine frees the engine from a stream that nobody reads.
func (c *completion) cancelAtEngine() {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	// On failure the engine ends the stream itself after its resume time.
	_ = c.engine.Cancel(ctx, c.id)
}
