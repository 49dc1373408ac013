package load

import "time"

// Outcome is how a request ended, as its caller saw it.
type Outcome string

// The outcomes.
const (
	// OK is a whole and right answer.
	OK Outcome = "ok"
	// Refused is an error in the documented shape before any of the answer.
	Refused Outcome = "refused"
	// Failed is a stream that ended in an explicit error, right so far.
	Failed Outcome = "failed"
	// Cut is an answer that ended without saying so.
	Cut Outcome = "cut"
	// Wrong is an answer that isn't the request's own, or not in order.
	Wrong Outcome = "wrong"
	// Broken is no answer: no connection, a timeout, or an error without the
	// documented shape.
	Broken Outcome = "broken"
)

// Result is how one request went. Times in JSON are in nanoseconds.
type Result struct {
	RequestID      string  `json:"request_id"`
	Organisation   string  `json:"organisation"`
	Class          string  `json:"class"`
	RequestKind    string  `json:"request"`
	IdempotencyKey string  `json:"key,omitempty"`
	Outcome        Outcome `json:"outcome"`
	// Code and Ran are of a refusal or failure.
	Code string `json:"code,omitempty"`
	Ran  string `json:"ran,omitempty"`
	// Detail tells what was wrong.
	Detail   string `json:"detail,omitempty"`
	Executor string `json:"executor,omitempty"`
	// ScheduledAt is the scheduled arrival since the run's start. FirstToken and Total
	// count from it.
	ScheduledAt time.Duration `json:"at"`
	FirstToken  time.Duration `json:"first_token"`
	Total       time.Duration `json:"total"`
	// Tokens are those received; PromptTokens and CachedTokens are what the
	// answer says.
	Tokens       int `json:"tokens"`
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	// Resent is how often it was sent again after a refusal.
	Resent int `json:"resent,omitempty"`

	chat       bool
	gaps       []time.Duration // between events with text
	retryAfter time.Duration
}

func (r *Result) end(outcome Outcome, detail string) {
	r.Outcome = outcome
	r.Detail = detail
}

// errorBody is the documented shape of errors.
type errorBody struct {
	Error struct {
		Code         string `json:"code"`
		Message      string `json:"message"`
		Ran          string `json:"ran"`
		RetryAfterMS int64  `json:"retry_after_ms"`
		RequestID    string `json:"request_id"`
	} `json:"error"`
}

// refuse ends r with an error in the documented shape, or says that it isn't.
func (r *Result) refuse(outcome Outcome, body errorBody) {
	e := body.Error
	if e.Code == "" || (e.Ran != "not_run" && e.Ran != "unknown" && e.Ran != "done") {
		r.end(Broken, "error without the documented shape")
		return
	}
	r.end(outcome, e.Message)
	r.Code, r.Ran = e.Code, e.Ran
	r.retryAfter = time.Duration(e.RetryAfterMS) * time.Millisecond
}
