package load

import "time"

// Outcome is how a request ended from its caller's point of view.
type Outcome string

// The outcomes.
const (
	// OK is a complete and correct answer.
	OK Outcome = "ok"
	// Refused is an error in the documented format before any part of the answer.
	Refused Outcome = "refused"
	// Failed is a stream that was correct so far and ended in an error event.
	Failed Outcome = "failed"
	// Cut is an answer that ended without its final event, or a service's
	// response whose body couldn't be read to its end.
	Cut Outcome = "cut"
	// Wrong is an answer that has other content than expected, or events out of
	// order.
	Wrong Outcome = "wrong"
	// Broken is no answer: no connection, a timeout, or an error that isn't in
	// the documented format.
	Broken Outcome = "broken"
)

// Result is the result of one request. Times in JSON are in nanoseconds.
type Result struct {
	RequestID      string  `json:"request_id"`
	Organisation   string  `json:"organisation"`
	Class          string  `json:"class"`
	RequestKind    string  `json:"request"`
	IdempotencyKey string  `json:"key,omitempty"`
	Outcome        Outcome `json:"outcome"`
	// Code and Ran are set if the outcome is Refused or Failed.
	Code string `json:"code,omitempty"`
	Ran  string `json:"ran,omitempty"`
	// Detail describes the error.
	Detail   string `json:"detail,omitempty"`
	Executor string `json:"executor,omitempty"`
	// ScheduledAt is the scheduled arrival since the start of the run. FirstToken
	// and Total are measured from it.
	ScheduledAt time.Duration `json:"at"`
	FirstToken  time.Duration `json:"first_token"`
	Total       time.Duration `json:"total"`
	// Tokens is how many tokens were received; PromptTokens and CachedTokens are
	// from the usage in the answer.
	Tokens       int `json:"tokens"`
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	// Resent is how often the request was retried after a refusal.
	Resent int `json:"resent,omitempty"`

	chat       bool
	tokenGaps  []time.Duration // between events with text
	retryAfter time.Duration
}

func (r *Result) setOutcome(outcome Outcome, detail string) {
	r.Outcome = outcome
	r.Detail = detail
}

// errorBody is the documented format of errors.
type errorBody struct {
	Error struct {
		Code         string `json:"code"`
		Message      string `json:"message"`
		Ran          string `json:"ran"`
		RetryAfterMS int64  `json:"retry_after_ms"`
		RequestID    string `json:"request_id"`
	} `json:"error"`
}

// setError sets the outcome to the given one if body is in the documented format,
// else to Broken.
func (r *Result) setError(outcome Outcome, body errorBody) {
	e := body.Error
	if e.Code == "" || (e.Ran != "not_run" && e.Ran != "unknown" && e.Ran != "done") {
		r.setOutcome(Broken, "error without the documented shape")
		return
	}
	r.setOutcome(outcome, e.Message)
	r.Code, r.Ran = e.Code, e.Ran
	r.retryAfter = time.Duration(e.RetryAfterMS) * time.Millisecond
}
