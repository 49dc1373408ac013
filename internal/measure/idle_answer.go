package measure

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"skylarklead/internal/engine"
)

// timedAnswer is a streamed answer and the time from the request to its first text.
type timedAnswer struct {
	firstToken time.Duration
	// arrivals are the times of all pieces of text.
	arrivals []time.Duration
	text     string
	usage    engine.Usage
}

var errNoEnd = errors.New("measure: stream without its end")

// timeAnswer makes a request and reads its stream to the end, so that its
// connection can be used again.
func timeAnswer(req *http.Request) (got timedAnswer, err error) {
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return got, fmt.Errorf("measure: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return got, fmt.Errorf("measure: %s: %s", req.URL, resp.Status)
	}
	ended := false
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			ended = true
		default:
			if err := got.take(data, began); err != nil {
				return got, err
			}
		}
	}
	if err := lines.Err(); err != nil {
		return got, fmt.Errorf("measure: %w", err)
	}
	if !ended {
		return got, errNoEnd
	}
	return got, nil
}

func (a *timedAnswer) take(data string, began time.Time) error {
	var chunk engine.CompletionChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return fmt.Errorf("measure: event: %w", err)
	}
	if chunk.Usage != nil {
		a.usage = *chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content != "" {
			a.arrivals = append(a.arrivals, time.Since(began))
			a.firstToken = a.arrivals[0]
		}
		a.text += choice.Delta.Content
	}
	return nil
}
