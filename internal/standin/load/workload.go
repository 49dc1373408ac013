// Package load is a seeded open-loop load generator for tests and measurements. It
// simulates callers of several organisations whose prompts share nested prefixes,
// and checks every answer byte by byte.
//
// Requests are sent at their scheduled times, whether earlier ones have been
// answered or not, and latency is measured from the scheduled arrival: a stall of
// the system shows in every request scheduled during it.
package load

import (
	"fmt"
	"os"

	"skylarklead/internal/config"
	"skylarklead/internal/strictjson"
)

// Workload describes organisations, their requests and request rates.
type Workload struct {
	Name string `json:"name"`
	// Rate is the arrivals per second of all organisations together.
	Rate float64 `json:"rate"`
	// Records are the configuration records that the workload needs in addition
	// to those of its organisations.
	Records       []config.Record `json:"records"`
	Organisations []Organisation  `json:"organisations"`
}

// Classes of organisations in reports.
const (
	ClassSmall = "small"
	ClassLarge = "large"
)

// Organisation is one customer.
type Organisation struct {
	ID    string `json:"id"`
	Class string `json:"class"`
	// APIKey is its key in clear text, for use with stand-ins only.
	APIKey string `json:"api_key"`
	// Share is its share of all arrivals, relative to the other shares.
	Share float64 `json:"share"`
	// Instructions are its standing instructions, the most widely shared first.
	// Their texts are in its configuration record, and the router inserts them
	// before each prompt.
	Instructions []Instruction `json:"instructions"`
	// Weight and MaxInFlight are copied to its configuration record.
	Weight      float64       `json:"weight"`
	MaxInFlight int           `json:"max_in_flight"`
	Requests    []RequestKind `json:"requests"`
}

// Instruction is the text returned by Text(Seed, Tokens).
type Instruction struct {
	Seed   string `json:"seed"`
	Tokens int    `json:"tokens"`
}

// RequestKind is one kind of an organisation's requests: exactly one of Chat and
// Call is set.
type RequestKind struct {
	Name string `json:"name"`
	// Share is its share of the organisation's arrivals, relative to the other
	// shares.
	Share float64 `json:"share"`
	Chat  *Chat   `json:"chat"`
	Call  *Call   `json:"call"`
}

// Chat is a streamed chat completion over nested prefixes: a charter, one of its
// cases, and a question that is new each time.
type Chat struct {
	Model    string      `json:"model"`
	Priority int         `json:"priority"`
	Charter  SharedTexts `json:"charter"`
	Case     SharedTexts `json:"case"`
	// QuestionTokens is the length of the question.
	QuestionTokens int `json:"question_tokens"`
	// MinTokens and MaxTokens bound the length of an answer, drawn uniformly.
	MinTokens int `json:"min_tokens"`
	MaxTokens int `json:"max_tokens"`
	// DeadlineMS is the deadline that the caller sends, 0 for none.
	DeadlineMS int `json:"deadline_ms"`
}

// SharedTexts is a set of texts that requests have in common.
type SharedTexts struct {
	// Tokens is the length of each text; 0 leaves this level of the prefix out.
	Tokens int `json:"tokens"`
	// Count is how many texts there are for each text of the level above.
	Count int `json:"count"`
	// Skew is the exponent of their Zipf distribution; 0 makes them equally
	// popular.
	Skew float64 `json:"skew"`
}

// Call is a call to a plain service. Its body has a field "echo", whose value the
// response must repeat.
type Call struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	// Idempotent calls have a unique Idempotency-Key.
	Idempotent bool `json:"keyed"`
	// Tokens is the length of the padding in the body.
	Tokens     int `json:"tokens"`
	DeadlineMS int `json:"deadline_ms"`
}

// ReadWorkload reads and validates a workload file, JSON with comments.
func ReadWorkload(file string) (Workload, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Workload{}, fmt.Errorf("load: %w", err)
	}
	var w Workload
	doc := strictjson.Decode(data, file, &w)
	w.check(doc)
	if err := doc.Err(); err != nil {
		return Workload{}, fmt.Errorf("load: %w", err)
	}
	return w, nil
}

func (w *Workload) check(doc *strictjson.Document) {
	if w.Rate <= 0 {
		doc.Add("rate", fmt.Sprintf("is %v", w.Rate), "arrivals a second, above 0")
	}
	if len(w.Organisations) == 0 {
		doc.Add("organisations", "is empty", "at least one")
	}
	for i, o := range w.Organisations {
		path := fmt.Sprintf("organisations[%d]", i)
		if o.Class != ClassSmall && o.Class != ClassLarge {
			doc.Add(path+".class", fmt.Sprintf("is %q", o.Class), `"small" or "large"`)
		}
		if o.Share <= 0 {
			doc.Add(path+".share", fmt.Sprintf("is %v", o.Share), "above 0")
		}
		if len(o.Requests) == 0 {
			doc.Add(path+".requests", "is empty", "at least one")
		}
		for j, r := range o.Requests {
			r.check(doc, fmt.Sprintf("%s.requests[%d]", path, j))
		}
	}
}

func (r *RequestKind) check(doc *strictjson.Document, path string) {
	if r.Share <= 0 {
		doc.Add(path+".share", fmt.Sprintf("is %v", r.Share), "above 0")
	}
	if (r.Chat == nil) == (r.Call == nil) {
		doc.Add(path, "has both or none of chat and call", "one of them")
		return
	}
	if r.Chat == nil {
		return
	}
	if r.Chat.MinTokens < 1 || r.Chat.MaxTokens < r.Chat.MinTokens {
		doc.Add(path+".chat.max_tokens", fmt.Sprintf("is %d", r.Chat.MaxTokens), "at least min_tokens, which is at least 1")
	}
	r.Chat.Charter.check(doc, path+".chat.charter")
	r.Chat.Case.check(doc, path+".chat.case")
}

func (s *SharedTexts) check(doc *strictjson.Document, path string) {
	if s.Tokens > 0 && s.Count < 1 {
		doc.Add(path+".count", fmt.Sprintf("is %d", s.Count), "at least 1")
	}
}
