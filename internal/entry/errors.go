package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"skylarklead/internal/wire"
)

// statusClientClosed is the customary status, never seen by the caller, of a
// request whose caller hung up.
const statusClientClosed = 499

// Error is what a caller is told when a request gets no answer, or only part of
// one. Ran says whether the request may have run.
type Error struct {
	Code       wire.Code
	Message    string
	Ran        wire.Outcome
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Ran, e.Message)
}

// refuse returns an Error for a request that this entry never sent on.
func refuse(code wire.Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), Ran: wire.NotRun}
}

// after sets when the caller may come back.
func (e *Error) after(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// fromRefusal turns a peer's refusal into a caller's error.
func fromRefusal(r *wire.Refusal) *Error {
	return &Error{
		Code:       r.Code,
		Message:    r.Message,
		Ran:        r.Ran,
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
	}
}

// fromEnd turns an attempt's end without success into a caller's error. An
// outcome without a code gets the code of that outcome.
func fromEnd(end *wire.End) *Error {
	e := &Error{
		Code:       end.Code,
		Message:    end.Message,
		Ran:        end.Outcome,
		RetryAfter: time.Duration(end.RetryAfterMs) * time.Millisecond,
	}
	if e.Message == "" {
		e.Message = "its endpoint gave no reason"
	}
	if e.Code != wire.CodeNone {
		return e
	}
	switch end.Outcome {
	case wire.NotRun:
		e.Code = wire.CodeNotRun
	case wire.Unknown:
		e.Code = wire.CodeUnknownOutcome
	default:
		e.Code = wire.CodeInternal
	}
	return e
}

var statusOf = map[wire.Code]int{
	wire.CodeBadRequest:     http.StatusBadRequest,
	wire.CodeTooLarge:       http.StatusRequestEntityTooLarge,
	wire.CodeUnauthorized:   http.StatusUnauthorized,
	wire.CodeForbiddenModel: http.StatusForbidden,
	wire.CodeUnknownModel:   http.StatusNotFound,
	wire.CodeUnknownService: http.StatusNotFound,
	wire.CodeOverloaded:     http.StatusTooManyRequests,
	wire.CodeDeadline:       http.StatusGatewayTimeout,
	wire.CodeNoEndpoint:     http.StatusServiceUnavailable,
	wire.CodeNotRun:         http.StatusServiceUnavailable,
	wire.CodeUnknownOutcome: http.StatusBadGateway,
	wire.CodeGivenUp:        http.StatusServiceUnavailable,
	wire.CodeKeyConflict:    http.StatusConflict,
	wire.CodeKeyTooOld:      http.StatusUnprocessableEntity,
	wire.CodeLogUnavailable: http.StatusServiceUnavailable,
	wire.CodeDraining:       http.StatusServiceUnavailable,
	wire.CodeCanceled:       statusClientClosed,
}

func (e *Error) status() int {
	if status, ok := statusOf[e.Code]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// errorBody is the one JSON shape of errors (docs/INTERFACE.md, section 1).
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code         wire.Code    `json:"code"`
	Message      string       `json:"message"`
	Ran          wire.Outcome `json:"ran"`
	RetryAfterMs int64        `json:"retry_after_ms"`
	RequestID    string       `json:"request_id"`
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

// write answers with the error; nothing may have been written before.
func (e *Error) write(w http.ResponseWriter, requestID string) { e.writeAs(w, e.status(), requestID) }

func (e *Error) writeAs(w http.ResponseWriter, status int, requestID string) {
	if e.RetryAfter > 0 {
		// The header counts whole seconds: rounded up, so that nobody is asked
		// back too early.
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e.body(requestID)) // the caller has gone
}
