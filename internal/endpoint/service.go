package endpoint

import (
	"context"
	"errors"
	"io"

	"skylarklead/internal/engine"
	"skylarklead/internal/wire"
)

// callChunk is the size of the pieces of a service's answer in bytes.
const callChunk = 32 << 10

// runCall sends a call to the plain service, once, and returns how it ended.
func (e *Endpoint) runCall(ctx context.Context, j job) wire.End {
	call := j.run.Call
	resp, err := e.service.Call(ctx, engine.ServiceRequest{
		ID:          j.run.Request,
		Method:      call.Method,
		Path:        call.Path,
		ContentType: call.ContentType,
		Body:        call.Body,
	})
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return wire.End{Outcome: wire.NotRun, Code: wire.CodeNotRun, Message: "service is not reachable"}
	case err != nil:
		return wire.End{Outcome: wire.Unknown, Code: wire.CodeUnknownOutcome, Message: "service's answer was lost"}
	}
	defer resp.Body.Close()
	j.stream.begin(&wire.Start{Attempt: j.run.Attempt, Status: resp.Status, ContentType: resp.ContentType})
	if err := copyChunks(ctx, j.stream, resp.Body); err != nil {
		return wire.End{Outcome: wire.Unknown, Code: wire.CodeUnknownOutcome, Message: "service's answer was cut"}
	}
	return wire.End{Outcome: wire.Done}
}

func copyChunks(ctx context.Context, st *stream, body io.Reader) error {
	for {
		buf := make([]byte, callChunk)
		n, err := io.ReadFull(body, buf)
		if n > 0 {
			if err := st.add(ctx, buf[:n]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, engine.ErrLost):
			return nil
		case err != nil:
			return err
		}
	}
}
