package engine

import (
	"encoding/json"
	"fmt"
	"strconv"

	"skylarklead/internal/prefix"
)

// Headers of the HTTP interfaces of engines and plain services.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIncarnation    = "X-Engine-Incarnation"
	HeaderWeights        = "X-Weights-Version"
	HeaderCacheSalt      = "X-Cache-Salt"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Codes in the engine's error bodies.
const (
	CodeLoading    = "loading"
	CodeBadRequest = "bad_request"
	CodeNotFound   = "not_found"
	CodeRefused    = "refused"
	CodeConflict   = "conflict"
	CodeBusy       = "busy"
)

// Completion is the body of POST /v1/chat/completions.
type Completion struct {
	Model         string           `json:"model"`
	Messages      []prefix.Message `json:"messages"`
	Stream        bool             `json:"stream"`
	StreamOptions StreamOptions    `json:"stream_options"`
	// MaxTokens counts new tokens, not those of a partial answer in Messages.
	MaxTokens            int    `json:"max_tokens"`
	Priority             int    `json:"priority,omitempty"`
	CacheSalt            string `json:"cache_salt"`
	ContinueFinalMessage bool   `json:"continue_final_message,omitempty"`
}

// StreamOptions asks for the usage chunk at a stream's end.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// CompletionChunk is the data of one event of a stream.
type CompletionChunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the one alternative that a chunk carries.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails says how much of a prompt was read from the prefix cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// EventType is the type of a cache event.
type EventType string

// The types of cache events. CacheCleared empties the cache; it has no hashes.
const (
	BlocksStored  EventType = "stored"
	BlocksRemoved EventType = "removed"
	CacheCleared  EventType = "cleared"
)

// CacheEvent is one change of the engine's prefix cache. Seq increases by one from 1 within an
// incarnation; a missing number is a lost event.
type CacheEvent struct {
	Seq         uint64    `json:"seq"`
	Incarnation string    `json:"incarnation"`
	Weights     string    `json:"weights_version"`
	Type        EventType `json:"type"`
	Hashes      Hashes    `json:"hashes"`
}

// Load is the engine's load report, AgeMs old.
type Load struct {
	Incarnation   string `json:"incarnation"`
	Weights       string `json:"weights_version"`
	Model         string `json:"model"`
	Version       string `json:"version"`
	Role          string `json:"role"`
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	KVUsedBlocks  int    `json:"kv_used_blocks"`
	KVTotalBlocks int    `json:"kv_total_blocks"`
	AgeMs         int64  `json:"age_ms"`
}

// Op is the operation of an order.
type Op string

const (
	OpLoadModel   Op = "load_model"
	OpLoadAdapter Op = "load_adapter"
	OpLoadVersion Op = "load_version"
	OpSetRole     Op = "set_role"
)

// Order tells the engine to change what it serves. Fence is the fencing number: engines that
// check it refuse one below the highest that they have seen.
type Order struct {
	Fence   uint64 `json:"fence"`
	Op      Op     `json:"op"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// State is what the engine serves. Fence is that of the last order.
type State struct {
	Fence       uint64   `json:"fence"`
	Model       string   `json:"model"`
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters"`
	Role        string   `json:"role"`
	Loading     bool     `json:"loading"`
	Incarnation string   `json:"incarnation"`
}

// KV is exported cache content. Hashes are the blocks that Blob has; they may be fewer than
// requested. CacheSalt is set only for an import.
type KV struct {
	Incarnation string `json:"incarnation"`
	Weights     string `json:"weights_version"`
	Hashes      Hashes `json:"hashes"`
	Blob        []byte `json:"blob"`
	CacheSalt   string `json:"cache_salt,omitempty"`
}

// Imported is the answer to an import: how many of its blocks the engine now has.
type Imported struct {
	Blocks int `json:"blocks"`
}

// KVQuery is the request for an export: the blocks to export.
type KVQuery struct {
	Hashes Hashes `json:"hashes"`
}

// ErrorBody is the body of the engine's refusals.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is a refusal's code and message.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// StaleFence is the body of a 409 answer to an order. Fence is the highest number seen.
type StaleFence struct {
	Fence uint64 `json:"fence"`
}

// Hashes are block hashes, in JSON 16 hex digits each.
type Hashes []prefix.Hash

// MarshalJSON encodes each hash as 16 hex digits.
func (h Hashes) MarshalJSON() ([]byte, error) {
	out := make([]string, len(h))
	for i, hash := range h {
		out[i] = fmt.Sprintf("%016x", uint64(hash))
	}
	return json.Marshal(out)
}

// UnmarshalJSON decodes hashes of up to 16 hex digits.
func (h *Hashes) UnmarshalJSON(data []byte) error {
	var in []string
	if err := json.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("engine: block hashes: %w", err)
	}
	out := make(Hashes, len(in))
	for i, s := range in {
		v, err := strconv.ParseUint(s, 16, 64)
		if err != nil {
			return fmt.Errorf("engine: block hash %d: %w", i, err)
		}
		out[i] = prefix.Hash(v)
	}
	*h = out
	return nil
}
