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

// timedAnswer is a streamed answer with times since the start of the request.
type timedAnswer struct {
	firstToken time.Duration
	// arrivals has the time of each event with text.
	arrivals []time.Duration
	text     string
	usage    engine.Usage
}

var errNoEnd = errors.New("measure: stream ended without [DONE]")

// timeAnswer sends a request and reads its stream to the end, so that the
// connection can be reused.
func timeAnswer(req *http.Request) (got timedAnswer, err error) {
	start := time.Now()
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
			if err := got.addEvent(data, start); err != nil {
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

func (a *timedAnswer) addEvent(data string, start time.Time) error {
	var chunk engine.CompletionChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return fmt.Errorf("measure: event: %w", err)
	}
	if chunk.Usage != nil {
		a.usage = *chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content != "" {
			a.arrivals = append(a.arrivals, time.Since(start))
			a.firstToken = a.arrivals[0]
		}
		a.text += choice.Delta.Content
	}
	return nil
}
