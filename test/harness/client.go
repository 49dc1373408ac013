package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
)

// Caller is an API client of an organisation: it sends requests to one entry and
// parses the answers.
type Caller struct {
	// URL is the base URL of the entry, Key the organisation's API key.
	URL, Key string
}

// Chat is a request for a chat completion.
type Chat struct {
	Model     string
	Messages  []prefix.Message
	MaxTokens int
	Headers   map[string]string
	// OnEvent, if set, is called after each event with the number of events so far.
	OnEvent func(n int)
}

// NotifyAtEvent sets OnEvent and returns a channel that is closed when the n-th event
// of the answer has arrived.
func (c *Chat) NotifyAtEvent(n int) <-chan struct{} {
	reached := make(chan struct{})
	c.OnEvent = func(events int) {
		if events == n {
			close(reached)
		}
	}
	return reached
}

// Answer is the response to a caller's request, or what arrived of it.
type Answer struct {
	Status    int
	RequestID string
	Executor  string
	Text      string
	Events    int
	// LastEventID is the id of the last event with content.
	LastEventID string
	// Ended is set by the explicit end of a stream, or by a complete body.
	Ended bool
	// Failure is the explicit error, nil if none.
	Failure *Failure
	// CachedTokens is the number of prompt tokens served from cache, 0 if not reported.
	CachedTokens int
	// RunNumber is how often the stand-in service has run the call, as it reports.
	RunNumber int
	// TransportErr is set if the connection failed, or the answer was malformed,
	// without an explicit end.
	TransportErr error
	// FirstByte is the time from sending to the first event or to the body.
	FirstByte time.Duration
	// RetryAfter is the value of the response header Retry-After.
	RetryAfter string
}

// Failure is the error object of docs/INTERFACE.md, section 1.
type Failure struct {
	Code         protocol.Code    `json:"code"`
	Message      string           `json:"message"`
	Ran          protocol.Outcome `json:"ran"`
	RetryAfterMs int64            `json:"retry_after_ms"`
	RequestID    string           `json:"request_id"`
}

// String summarises the answer for the message of a failed test.
func (a Answer) String() string {
	return fmt.Sprintf("status %d, request %s, %d events, %d bytes, ended %v, failure %+v, lost %v",
		a.Status, a.RequestID, a.Events, len(a.Text), a.Ended, a.Failure, a.TransportErr)
}

type chatBody struct {
	Model     string           `json:"model"`
	Messages  []prefix.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

type chunkBody struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

type failureBody struct {
	Error Failure `json:"error"`
}

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Chat requests a streamed chat completion and reads it to its end.
func (c Caller) Chat(ctx context.Context, chat Chat) Answer {
	body, err := json.Marshal(chatBody{Model: chat.Model, Messages: chat.Messages, MaxTokens: chat.MaxTokens, Stream: true})
	if err != nil {
		panic(err) // unreachable: the body has only strings and integers
	}
	return c.stream(ctx, http.MethodPost, "/v1/chat/completions", body, chat.Headers, chat.OnEvent)
}

// Resume requests the rest of a stream after the event lastID.
func (c Caller) Resume(ctx context.Context, lastID string) Answer {
	return c.stream(ctx, http.MethodGet, "/v1/streams", nil, map[string]string{"Last-Event-ID": lastID}, nil)
}

func (c Caller) stream(ctx context.Context, method, path string, body []byte, headers map[string]string, event func(int)) Answer {
	began := time.Now()
	resp, err := c.do(ctx, method, path, body, headers)
	if err != nil {
		return Answer{TransportErr: err}
	}
	defer resp.Body.Close()
	a := newAnswer(resp)
	if resp.StatusCode != http.StatusOK {
		a.readFailure(resp.Body)
		return a
	}
	a.readEvents(resp.Body, began, event)
	return a
}

func (c Caller) do(ctx context.Context, method, path string, body []byte, headers map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	return httpClient.Do(req)
}

func newAnswer(resp *http.Response) Answer {
	return Answer{
		Status:     resp.StatusCode,
		RequestID:  resp.Header.Get("X-Request-Id"),
		Executor:   resp.Header.Get("X-Executor"),
		RetryAfter: resp.Header.Get("Retry-After"),
	}
}

func (a *Answer) readFailure(body io.Reader) {
	var f failureBody
	if err := json.NewDecoder(body).Decode(&f); err != nil {
		a.TransportErr = fmt.Errorf("error body: %w", err)
		return
	}
	a.Failure = &f.Error
}

var errEventOrder = errors.New("harness: events out of order")

// readEvents reads a stream of server-sent events to its explicit end and checks
// that the sequence numbers in the event ids have no gap.
func (a *Answer) readEvents(body io.Reader, began time.Time, event func(int)) {
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, 4<<20)
	kind, id := "", ""
	for sc.Scan() {
		field, value, _ := strings.Cut(sc.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			id = value
		case "event":
			kind = value
		case "data":
			if a.Events == 0 {
				a.FirstByte = time.Since(began)
			}
			if a.handleEvent(kind, id, value) {
				return
			}
			if event != nil {
				event(a.Events)
			}
		case "":
			kind = ""
		}
	}
	a.TransportErr = sc.Err()
	if a.TransportErr == nil {
		a.TransportErr = io.ErrUnexpectedEOF
	}
}

// handleEvent handles the data of one event and reports whether the stream is over.
func (a *Answer) handleEvent(kind, id, data string) bool {
	if data == "[DONE]" {
		a.Ended = true
		return true
	}
	if kind == "error" {
		a.readFailure(strings.NewReader(data))
		return true
	}
	var chunk chunkBody
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		a.TransportErr = err
		return true
	}
	if chunk.Usage != nil {
		a.CachedTokens = chunk.Usage.Details.Cached
	}
	if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
		return false
	}
	if a.TransportErr = checkSequence(a.LastEventID, id); a.TransportErr != nil {
		return true
	}
	a.LastEventID = id
	a.Text += chunk.Choices[0].Delta.Content
	a.Events++
	return false
}

// checkSequence checks that the sequence number at the end of id follows that of
// last, if there is one.
func checkSequence(last, id string) error {
	n, err := sequenceNumber(id)
	if err != nil {
		return err
	}
	if last == "" {
		return nil
	}
	if before, _ := sequenceNumber(last); n != before+1 {
		return fmt.Errorf("%w: %s after %s", errEventOrder, id, last)
	}
	return nil
}

func sequenceNumber(id string) (uint64, error) {
	n, err := strconv.ParseUint(id[strings.LastIndexByte(id, '/')+1:], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("harness: event id %q: %w", id, err)
	}
	return n, nil
}

// Call posts to a path of the plain service. The service counts its runs by request
// ID; key is the Idempotency-Key, empty for none.
func (c Caller) Call(ctx context.Context, path, requestID, key string) Answer {
	headers := map[string]string{"X-Request-Id": requestID}
	if key != "" {
		headers["Idempotency-Key"] = key
	}
	began := time.Now()
	body, _ := json.Marshal(map[string]string{"echo": requestID})
	resp, err := c.do(ctx, http.MethodPost, "/v1/services/"+Service+path, body, headers)
	if err != nil {
		return Answer{TransportErr: err}
	}
	defer resp.Body.Close()
	a := newAnswer(resp)
	a.FirstByte = time.Since(began)
	if resp.StatusCode != http.StatusOK {
		a.readFailure(resp.Body)
		return a
	}
	var got struct {
		Echo string `json:"echo"`
		Run  int    `json:"run"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		a.TransportErr = err
		return a
	}
	a.Text, a.RunNumber, a.Ended = got.Echo, got.Run, true
	return a
}
