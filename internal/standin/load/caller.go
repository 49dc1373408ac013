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

// maxAnswer bounds the body of an answer that isn't a stream, in bytes.
const maxAnswer = 1 << 20

// caller sends requests.
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

// call sends a request, again after a refusal where the options say so, and
// returns how it went. Start is when it was to arrive.
func (c *caller) call(ctx context.Context, a *arrival, start time.Time) Result {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	for resent := 0; ; resent++ {
		r := c.try(ctx, a, start)
		r.Resent = resent
		r.Total = time.Since(start)
		again := r.Outcome == Refused && r.Ran == "not_run" && r.retryAfter > 0
		if !again || resent == c.options.MaxRetries || wait.For(ctx, r.retryAfter) != nil {
			return r
		}
	}
}

func (c *caller) try(ctx context.Context, a *arrival, start time.Time) Result {
	r := Result{
		RequestID:    "load-" + a.token,
		Organisation: a.organisation.ID,
		Class:        a.organisation.Class,
		RequestKind:  a.request.Name,
		ScheduledAt:  a.at,
		chat:         a.request.Chat != nil,
	}
	req, err := c.request(ctx, a, &r)
	if err != nil {
		r.end(Broken, err.Error())
		return r
	}
	resp, err := c.client.Do(req)
	if err != nil {
		r.end(Broken, err.Error())
		return r
	}
	defer resp.Body.Close()
	r.Executor = resp.Header.Get("X-Executor")
	switch {
	case resp.StatusCode != http.StatusOK:
		refusal(&r, resp)
	case r.chat:
		prompt := append(c.prompts.instructions(a.organisation), c.prompts.messages(a)...)
		newStream(&r, start, prompt, a.maxTokens).read(resp.Body)
	default:
		checkCall(&r, resp.Body, a.token)
	}
	return r
}

func (c *caller) request(ctx context.Context, a *arrival, r *Result) (*http.Request, error) {
	path, body, err := c.prompts.body(a)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.balancer.next()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// A transport sends a request with this key again by itself when its
	// connection breaks; without GetBody it can't. A run is to see each failure
	// that its callers meet.
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

func refusal(r *Result, resp *http.Response) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		r.end(Broken, err.Error())
		return
	}
	var body errorBody
	if json.Unmarshal(data, &body) != nil {
		r.end(Broken, fmt.Sprintf("status %d: %.80q", resp.StatusCode, data))
		return
	}
	r.refuse(Refused, body)
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err == nil && r.retryAfter == 0 {
		r.retryAfter = time.Duration(seconds) * time.Second
	}
}

// checkCall checks a plain service's answer: its own token, and one run.
func checkCall(r *Result, body io.Reader, token string) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	if err != nil {
		r.end(Cut, err.Error())
		return
	}
	var got struct {
		Echo string `json:"echo"`
		Run  int    `json:"run"`
	}
	if err := json.Unmarshal(data, &got); err != nil {
		r.end(Wrong, err.Error())
		return
	}
	switch {
	case got.Echo != token:
		r.end(Wrong, fmt.Sprintf("echo %q, want %q", got.Echo, token))
	case r.IdempotencyKey != "" && got.Run > 1:
		r.end(Wrong, fmt.Sprintf("ran %d times", got.Run))
	default:
		r.end(OK, "")
	}
}
