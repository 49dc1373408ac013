package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"skylarklead/internal/protocol"
)

// statusClientClosed is the status, common among proxies, of a request whose caller
// disconnected. The caller never sees it.
const statusClientClosed = 499

// Error is the error given to a caller whose request gets no answer, or only part
// of one. Ran says whether the request may have run.
type Error struct {
	Code       protocol.Code
	Message    string
	Ran        protocol.Outcome
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Ran, e.Message)
}

// refusef returns an Error for a request that this entry did not send to any
// executor.
func refusef(code protocol.Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Ran: protocol.NotRun}
}

// withRetryAfter sets the retry delay.
func (e *Error) withRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// errorFromRefusal converts a peer's refusal to a caller's error.
func errorFromRefusal(r *protocol.Refusal) *Error {
	return &Error{
		Code:       r.Code,
		Message:    r.Message,
		Ran:        r.Ran,
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
	}
}

// errorFromEnd converts the unsuccessful end of an attempt to a caller's error. If
// the end has no code, the code follows from its outcome.
func errorFromEnd(end *protocol.End) *Error {
	e := &Error{
		Code:       end.Code,
		Message:    end.Message,
		Ran:        end.Outcome,
		RetryAfter: time.Duration(end.RetryAfterMs) * time.Millisecond,
	}
	if e.Message == "" {
		e.Message = "the endpoint gave no reason"
	}
	if e.Code != protocol.CodeNone {
		return e
	}
	switch end.Outcome {
	case protocol.NotRun:
		e.Code = protocol.CodeNotRun
	case protocol.Unknown:
		e.Code = protocol.CodeUnknownOutcome
	default:
		e.Code = protocol.CodeInternal
	}
	return e
}

var statusByCode = map[protocol.Code]int{
	protocol.CodeBadRequest:     http.StatusBadRequest,
	protocol.CodeTooLarge:       http.StatusRequestEntityTooLarge,
	protocol.CodeUnauthorized:   http.StatusUnauthorized,
	protocol.CodeForbiddenModel: http.StatusForbidden,
	protocol.CodeUnknownModel:   http.StatusNotFound,
	protocol.CodeUnknownService: http.StatusNotFound,
	protocol.CodeOverloaded:     http.StatusTooManyRequests,
	protocol.CodeDeadline:       http.StatusGatewayTimeout,
	protocol.CodeNoEndpoint:     http.StatusServiceUnavailable,
	protocol.CodeNotRun:         http.StatusServiceUnavailable,
	protocol.CodeUnknownOutcome: http.StatusBadGateway,
	protocol.CodeGivenUp:        http.StatusServiceUnavailable,
	protocol.CodeKeyConflict:    http.StatusConflict,
	protocol.CodeKeyTooOld:      http.StatusUnprocessableEntity,
	protocol.CodeLogUnavailable: http.StatusServiceUnavailable,
	protocol.CodeDraining:       http.StatusServiceUnavailable,
	protocol.CodeCanceled:       statusClientClosed,
}

func (e *Error) status() int {
	if status, ok := statusByCode[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// errorBody is the JSON form of errors (docs/INTERFACE.md, section 1).
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code         protocol.Code    `json:"code"`
	Message      string           `json:"message"`
	Ran          protocol.Outcome `json:"ran"`
	RetryAfterMs int64            `json:"retry_after_ms"`
	RequestID    string           `json:"request_id"`
}

func (e *Error) body(requestID string) errorBody {
	return errorBody{Error: errorFields{
		Code:         e.Code,
		Message:      e.Message,
		Ran:          e.Ran,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
		RequestID:    requestID,
	}}
}

// write answers with the error. Nothing may have been written before.
func (e *Error) write(w http.ResponseWriter, requestID string) { e.writeAs(w, e.status(), requestID) }

func (e *Error) writeAs(w http.ResponseWriter, status int, requestID string) {
	if e.RetryAfter > 0 {
		// The header has whole seconds; rounded up, so that no caller retries too
		// early.
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e.body(requestID)) // fails only if the caller has disconnected
}
