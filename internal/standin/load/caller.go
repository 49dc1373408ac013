package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"skylarklead/internal/wait"
)

// maxResponseBytes bounds the body of a response that isn't a stream.
const maxResponseBytes = 1 << 20

// caller sends requests and checks their responses.
type caller struct {
	client   *http.Client
	balancer *balancer
	prompts  *prompts
	options  *Options
}

func newCaller(o *Options, b *balancer) *caller {
	return &caller{
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: o.MaxInFlight,
			IdleConnTimeout:     time.Minute,
		}},
		balancer: b,
		prompts:  newPrompts(),
		options:  o,
	}
}

// send sends a request, with retries after a refusal as the options allow, and
// returns its result. start is the scheduled arrival.
func (c *caller) send(ctx context.Context, a *arrival, start time.Time) Result {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	for retries := 0; ; retries++ {
		r := c.attempt(ctx, a, start)
		r.Resent = retries
		r.Total = time.Since(start)
		retry := r.Outcome == Refused && r.Ran == "not_run" && r.retryAfter > 0
		if !retry || retries == c.options.MaxRetries || wait.For(ctx, r.retryAfter) != nil {
			return r
		}
	}
}

func (c *caller) attempt(ctx context.Context, a *arrival, start time.Time) Result {
	r := Result{
		RequestID:    "load-" + a.token,
		Organisation: a.organisation.ID,
		Class:        a.organisation.Class,
		RequestKind:  a.request.Name,
		ScheduledAt:  a.at,
		chat:         a.request.Chat != nil,
	}
	req, err := c.newRequest(ctx, a, &r)
	if err != nil {
		r.setOutcome(Broken, err.Error())
		return r
	}
	resp, err := c.client.Do(req)
	if err != nil {
		r.setOutcome(Broken, err.Error())
		return r
	}
	defer resp.Body.Close()
	r.Executor = resp.Header.Get("X-Executor")
	switch {
	case resp.StatusCode != http.StatusOK:
		readRefusal(&r, resp)
	case r.chat:
		prompt := append(c.prompts.instructions(a.organisation), c.prompts.messages(a)...)
		newStreamChecker(&r, start, prompt, a.maxTokens).read(resp.Body)
	default:
		checkServiceResponse(&r, resp.Body, a.token)
	}
	return r
}

func (c *caller) newRequest(ctx context.Context, a *arrival, r *Result) (*http.Request, error) {
	path, body, err := c.prompts.body(a)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.balancer.next()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// http.Transport retries a request with an Idempotency-Key by itself when its
	// connection breaks, which needs GetBody. Without it, every failure that
	// callers would see is reported.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+a.organisation.APIKey)
	req.Header.Set("X-Request-Id", r.RequestID)
	deadline := 0
	if call := a.request.Call; call != nil {
		deadline = call.DeadlineMS
		if call.Idempotent {
			r.IdempotencyKey = "key-" + a.token
			req.Header.Set("Idempotency-Key", r.IdempotencyKey)
		}
	} else {
		deadline = a.request.Chat.DeadlineMS
		if c.options.ChatDeadline > 0 {
			deadline = int(c.options.ChatDeadline.Milliseconds())
		}
	}
	if deadline > 0 {
		req.Header.Set("X-Deadline-Ms", strconv.Itoa(deadline))
	}
	return req, nil
}

func readRefusal(r *Result, resp *http.Response) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		r.setOutcome(Broken, err.Error())
		return
	}
	var body errorBody
	if json.Unmarshal(data, &body) != nil {
		r.setOutcome(Broken, fmt.Sprintf("status %d: %.80q", resp.StatusCode, data))
		return
	}
	r.setError(Refused, body)
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err == nil && r.retryAfter == 0 {
		r.retryAfter = time.Duration(seconds) * time.Second
	}
}

// checkServiceResponse checks that a plain service's response has the request's
// own token, and that a request with an idempotency key ran once.
func checkServiceResponse(r *Result, body io.Reader, token string) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		r.setOutcome(Cut, err.Error())
		return
	}
	var got struct {
		Echo string `json:"echo"`
		Run  int    `json:"run"`
	}
	if err := json.Unmarshal(data, &got); err != nil {
		r.setOutcome(Wrong, err.Error())
		return
	}
	switch {
	case got.Echo != token:
		r.setOutcome(Wrong, fmt.Sprintf("echo %q, want %q", got.Echo, token))
	case r.IdempotencyKey != "" && got.Run > 1:
		r.setOutcome(Wrong, fmt.Sprintf("ran %d times", got.Run))
	default:
		r.setOutcome(OK, "")
	}
}
