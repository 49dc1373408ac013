package endpoint

import (
	"bytes"
	"context"
	"encoding/hex"
	"errors"
	"io"

	"skylarklead/internal/engine"
	"skylarklead/internal/protocol"
)

// callChunkBytes is the size of the chunks of a service's answer.
const callChunkBytes = 16 << 10

// runCall sends a call to the plain service, once, and returns how it ended.
func (e *Endpoint) runCall(ctx context.Context, j job) protocol.End {
	call := j.run.Call
	resp, err := e.service.Call(ctx, engine.ServiceRequest{
		ID:          j.run.Request,
		Key:         hex.EncodeToString(j.run.Key),
		Method:      call.Method,
		Path:        call.Path,
		ContentType: call.ContentType,
		Body:        call.Body,
	})
	switch {
	case errors.Is(err, engine.ErrNotRun):
		return protocol.End{Outcome: protocol.NotRun, Code: protocol.CodeNotRun, Message: "service is not reachable"}
	case err != nil:
		return protocol.End{Outcome: protocol.Unknown, Code: protocol.CodeUnknownOutcome, Message: "service's response was lost"}
	}
	defer resp.Body.Close()
	j.stream.start(resp.Status, resp.ContentType)
	if err := copyChunks(ctx, j.stream, resp.Body); err != nil {
		e.log.Warn("service's response was cut off", "request", j.run.Request, "error", err)
		return protocol.End{Outcome: protocol.Unknown, Code: protocol.CodeUnknownOutcome, Message: "service's response was cut off"}
	}
	return protocol.End{Outcome: protocol.Done}
}

func copyChunks(ctx context.Context, st *stream, body io.Reader) error {
	buf := make([]byte, callChunkBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if err := st.waitForSpace(ctx); err != nil {
				return err
			}
			if err := st.add(bytes.Clone(buf[:n])); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
