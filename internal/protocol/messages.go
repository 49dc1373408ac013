package protocol

// Outcome says whether a request ran.
type Outcome string

// NotRun is reported only by the process that would have run the request and knows
// that it did not forward it, or by a process that never sent it.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Code is the reason of a refusal or failure, as callers see it (docs/INTERFACE.md,
// section 1).
type Code string

const (
	CodeNone           Code = ""
	CodeBadRequest     Code = "bad_request"
	CodeTooLarge       Code = "too_large"
	CodeUnauthorized   Code = "unauthorized"
	CodeForbiddenModel Code = "forbidden_model"
	CodeUnknownModel   Code = "unknown_model"
	CodeUnknownService Code = "unknown_service"
	CodeOverloaded     Code = "overloaded"
	CodeDeadline       Code = "deadline"
	CodeNoEndpoint     Code = "no_endpoint"
	CodeNotRun         Code = "not_run"
	CodeUnknownOutcome Code = "unknown_outcome"
	CodeGivenUp        Code = "given_up"
	CodeKeyConflict    Code = "key_conflict"
	CodeKeyTooOld      Code = "key_too_old"
	CodeLogUnavailable Code = "log_unavailable"
	CodeDraining       Code = "draining"
	CodeCanceled       Code = "canceled"
	CodeInternal       Code = "internal"
)

// Message is implemented by the message types of this package.
type Message interface{ Kind() Kind }

// Refusal says why a request is not run, or is not known to have run.
type Refusal struct {
	Code         Code    `cbor:"1,keyasint"`
	Message      string  `cbor:"2,keyasint,omitempty"`
	Ran          Outcome `cbor:"3,keyasint"`
	RetryAfterMs int64   `cbor:"4,keyasint,omitempty"`
}

// Failure answers a request that the peer could not serve.
type Failure struct {
	Refusal Refusal `cbor:"1,keyasint"`
}
