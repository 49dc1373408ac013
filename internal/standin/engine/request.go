package engine

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"time"

	api "skylarklead/internal/engine"
	"skylarklead/internal/prefix"
	"skylarklead/internal/standin/answer"
)

const (
	defaultMaxTokens = 16
	finishLength     = "length"
	objectChunk      = "chat.completion.chunk"
)

// request is a completion from its arrival until its stream is forgotten.
type request struct {
	id       string
	model    string
	priority int
	arrival  uint64
	origin   origin
	text     string
	root     prefix.Hash
	chain    []prefix.Hash

	parameters   map[string]json.RawMessage
	promptTokens int
	maxTokens    int
	answer       answer.Answer
	// have is how many tokens of the answer the prompt already holds.
	have int

	// cached and computed are prompt tokens, from the cache and prefilled.
	cached   int
	computed int
	// held is how many leading blocks of chain the request uses; reserved is
	// what it was promised besides.
	held     int
	reserved int
	produced int

	// events are the data of the stream's events; changed is closed and replaced
	// when there are more, or when the stream ends.
	events   [][]byte
	changed  chan struct{}
	ended    bool
	aborted  bool
	attached int
	expiry   *time.Timer
}

// completionBody is a completion with the fields that the stand-in ignores.
type completionBody struct {
	api.Completion
	parameters map[string]json.RawMessage
}

// UnmarshalJSON implements json.Unmarshaler.
func (b *completionBody) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, &b.Completion); err != nil {
		return err
	}
	if err := json.Unmarshal(data, &b.parameters); err != nil {
		return err
	}
	for i := range reflect.TypeFor[api.Completion]().NumField() {
		name, _, _ := strings.Cut(reflect.TypeFor[api.Completion]().Field(i).Tag.Get("json"), ",")
		delete(b.parameters, name)
	}
	return nil
}

func newRequest(id string, body *completionBody, from origin) *request {
	r := &request{
		id:           id,
		model:        body.Model,
		priority:     body.Priority,
		origin:       from,
		root:         prefix.Salt{Organisation: from.Salt, Model: body.Model, Weights: from.Weights}.Root(),
		promptTokens: prefix.EstimateTokens(body.Messages),
		maxTokens:    body.MaxTokens,
		parameters:   body.parameters,
		changed:      make(chan struct{}),
	}
	text := prefix.Flatten(body.Messages)
	r.text = string(text)
	r.chain = prefix.Chain(r.root, text)
	if r.maxTokens <= 0 {
		r.maxTokens = defaultMaxTokens
	}
	if body.ContinueFinalMessage {
		r.answer, r.have = answer.Continue(body.Messages)
	} else {
		r.answer = answer.New(body.Messages)
	}
	return r
}

// blocks is the KV room that the request takes in all.
func (r *request) blocks() int {
	tokens := r.promptTokens + r.maxTokens
	return (tokens + prefix.BlockTokens - 1) / prefix.BlockTokens
}

// cacheable is how many leading blocks may come from the cache: the last prompt
// token is always computed, since the first answer token follows from it.
func (r *request) cacheable() []prefix.Hash {
	return r.chain[:min(len(r.chain), (r.promptTokens-1)/prefix.BlockTokens)]
}

func (r *request) prefillLeft() int { return r.promptTokens - r.cached - r.computed }

func (r *request) contains(s string) bool { return s != "" && strings.Contains(r.text, s) }

// produce adds the next token to the stream, and its end after the last one.
func (r *request) produce() {
	choice := api.Choice{Delta: api.Delta{Content: r.answer.Token(r.have + r.produced)}}
	r.produced++
	done := r.produced == r.maxTokens
	if done {
		reason := finishLength
		choice.FinishReason = &reason
	}
	r.publish(api.CompletionChunk{Choices: []api.Choice{choice}})
	if done {
		r.publish(api.CompletionChunk{Choices: []api.Choice{}, Usage: &api.Usage{
			PromptTokens:        r.promptTokens,
			CompletionTokens:    r.produced,
			PromptTokensDetails: api.PromptDetails{CachedTokens: r.cached},
		}})
	}
}

func (r *request) publish(chunk api.CompletionChunk) {
	chunk.ID, chunk.Object, chunk.Model = r.id, objectChunk, r.model
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(err) // the type has nothing that can't be encoded
	}
	r.events = append(r.events, data)
	r.signal()
}

// end marks the stream as ended; an aborted one has no explicit end.
func (r *request) end(aborted bool) {
	r.ended, r.aborted = true, aborted
	r.signal()
}

func (r *request) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// enqueue inserts by priority, then arrival.
func enqueue(queue []*request, r *request) []*request {
	at := len(queue)
	for at > 0 && queue[at-1].priority > r.priority {
		at--
	}
	return slices.Insert(queue, at, r)
}

func remove(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(other *request) bool { return other == r })
}
