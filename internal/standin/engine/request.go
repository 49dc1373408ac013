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

// request is a completion, from its arrival until its stream is removed.
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
	// priorTokens is how many tokens of the answer the prompt already contains,
	// if the request continues a partial answer.
	priorTokens int

	// cached and computed count prompt tokens taken from the cache and prefilled.
	cached   int
	computed int
	// heldBlocks is how many leading blocks of chain the request holds a reference
	// to; reservedBlocks is how many more are reserved for it.
	heldBlocks     int
	reservedBlocks int
	generated      int

	// events has the data of the stream's events. changed is closed and replaced
	// when an event is added or the stream ends.
	events      [][]byte
	changed     chan struct{}
	ended       bool
	aborted     bool
	connections int
	resumeTimer *time.Timer
}

// completionBody is the body of a completion request. parameters has the fields
// that aren't part of api.Completion.
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

func newRequest(id string, body *completionBody, source origin) *request {
	r := &request{
		id:           id,
		model:        body.Model,
		priority:     body.Priority,
		origin:       source,
		root:         prefix.Salt{Organisation: source.Salt, Model: body.Model, Weights: source.Weights}.Root(),
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
		r.answer, r.priorTokens = answer.Continue(body.Messages)
	} else {
		r.answer = answer.New(body.Messages)
	}
	return r
}

// requiredBlocks returns how many cache blocks the prompt and answer need.
func (r *request) requiredBlocks() int {
	tokens := r.promptTokens + r.maxTokens
	return (tokens + prefix.BlockTokens - 1) / prefix.BlockTokens
}

// cacheablePrefix returns the leading blocks that may be taken from the cache.
// The last prompt token is always computed, since the first answer token depends
// on it.
func (r *request) cacheablePrefix() []prefix.Hash {
	return r.chain[:min(len(r.chain), (r.promptTokens-1)/prefix.BlockTokens)]
}

func (r *request) remainingPrefill() int { return r.promptTokens - r.cached - r.computed }

func (r *request) contains(s string) bool { return s != "" && strings.Contains(r.text, s) }

// appendToken adds the next token to the stream, and the usage after the last
// one.
func (r *request) appendToken() {
	choice := api.Choice{Delta: api.Delta{Content: r.answer.Token(r.priorTokens + r.generated)}}
	r.generated++
	done := r.generated == r.maxTokens
	if done {
		reason := finishLength
		choice.FinishReason = &reason
	}
	r.publish(api.CompletionChunk{Choices: []api.Choice{choice}})
	if done {
		r.publish(api.CompletionChunk{Choices: []api.Choice{}, Usage: &api.Usage{
			PromptTokens:        r.promptTokens,
			CompletionTokens:    r.generated,
			PromptTokensDetails: api.PromptDetails{CachedTokens: r.cached},
		}})
	}
}

func (r *request) publish(chunk api.CompletionChunk) {
	chunk.ID, chunk.Object, chunk.Model = r.id, objectChunk, r.model
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(err) // every value of the type can be encoded
	}
	r.events = append(r.events, data)
	r.notify()
}

// end marks the stream as ended. An aborted stream has no final event.
func (r *request) end(aborted bool) {
	r.ended, r.aborted = true, aborted
	r.notify()
}

func (r *request) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// enqueue inserts a request in order of priority, lowest number first, then of
// arrival.
func enqueue(queue []*request, r *request) []*request {
	at := len(queue)
	for at > 0 && queue[at-1].priority > r.priority {
		at--
	}
	return slices.Insert(queue, at, r)
}

func removeRequest(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(other *request) bool { return other == r })
}
