package entry

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"skylarklead/internal/protocol"
	"skylarklead/internal/telemetry"
)

// sink writes an answer to the caller. Its methods are called by one goroutine. The
// last call is end or fail, once.
type sink interface {
	// start announces an attempt's executor and, for a service, the answer's status
	// and content type.
	start(executor string, s *protocol.Start) error
	// chunk delivers the next chunk of the answer.
	chunk(id eventID, data []byte) error
	// end completes the answer.
	end(e *protocol.End) error
	// fail ends the answer with an explicit error.
	fail(e *Error)
}

// eventID is the ID of an SSE event. It says where the stream can be resumed, and
// from which chunk on.
type eventID struct {
	executor string
	epoch    protocol.Epoch
	attempt  protocol.AttemptID
	seq      uint64
}

// String returns EXECUTOR/EPOCH/ATTEMPT/SEQ.
func (id eventID) String() string {
	return fmt.Sprintf("%s/%s/%s/%d", id.executor, telemetry.FormatEpoch(id.epoch), id.attempt, id.seq)
}

// parseEventID parses the result of String.
func parseEventID(text string) (id eventID, err error) {
	parts := strings.Split(text, "/")
	if len(parts) != 4 || parts[0] == "" {
		return id, errors.New("must be EXECUTOR/EPOCH/ATTEMPT/SEQ")
	}
	id.executor = parts[0]
	epoch, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return id, errors.New("EPOCH must be a hex number")
	}
	id.epoch = protocol.Epoch(epoch)
	if id.attempt, err = protocol.ParseAttemptID(parts[2]); err != nil {
		return id, errors.New("ATTEMPT must be 32 hex digits")
	}
	if id.seq, err = strconv.ParseUint(parts[3], 10, 64); err != nil {
		return id, errors.New("SEQ must be a number")
	}
	return id, nil
}

// writer writes to a caller and bounds the time of each write.
type writer struct {
	w     http.ResponseWriter
	rc    *http.ResponseController
	stall time.Duration
}

func (e *Entry) newWriter(w http.ResponseWriter) writer {
	return writer{w: w, rc: http.NewResponseController(w), stall: e.timeouts.stall}
}

// flush writes pieces of data and flushes them to the caller.
func (w writer) flush(pieces ...[]byte) error {
	if err := w.rc.SetWriteDeadline(time.Now().Add(w.stall)); err != nil {
		return fmt.Errorf("%w: %v", errCaller, err)
	}
	for _, piece := range pieces {
		if _, err := w.w.Write(piece); err != nil {
			return fmt.Errorf("%w: %v", errCaller, err)
		}
	}
	if err := w.rc.Flush(); err != nil {
		return fmt.Errorf("%w: %v", errCaller, err)
	}
	return nil
}
