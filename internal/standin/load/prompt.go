package load

import (
	"encoding/json"
	"sync"

	"skylarklead/internal/prefix"
)

// prompts builds request bodies from arrivals. It caches shared texts.
type prompts struct {
	mu    sync.Mutex
	texts map[Instruction]string
}

func newPrompts() *prompts { return &prompts{texts: map[Instruction]string{}} }

func (p *prompts) sharedText(seed string, tokens int) string {
	key := Instruction{seed, tokens}
	p.mu.Lock()
	defer p.mu.Unlock()
	text, ok := p.texts[key]
	if !ok {
		text = Text(seed, tokens)
		p.texts[key] = text
	}
	return text
}

// messages returns the messages that the caller sends: charter, case, question.
func (p *prompts) messages(a *arrival) []prefix.Message {
	chat := a.request.Chat
	var messages []prefix.Message
	if a.charterSeed != "" {
		messages = append(messages, prefix.Message{Role: "system", Content: p.sharedText(a.charterSeed, chat.Charter.Tokens)})
	}
	if a.caseSeed != "" {
		messages = append(messages, prefix.Message{Role: "user", Content: p.sharedText(a.caseSeed, chat.Case.Tokens)})
	}
	question := "echo:" + a.token + " " + Text(a.token, chat.QuestionTokens)
	return append(messages, prefix.Message{Role: "user", Content: question})
}

// instructions returns the standing instructions that the router inserts before
// the caller's messages.
func (p *prompts) instructions(o *Organisation) []prefix.Message {
	var messages []prefix.Message
	for _, i := range o.Instructions {
		messages = append(messages, prefix.Message{Role: "system", Content: p.sharedText(i.Seed, i.Tokens)})
	}
	return messages
}

// chatBody is the body of POST /v1/chat/completions.
type chatBody struct {
	Model     string           `json:"model"`
	Messages  []prefix.Message `json:"messages"`
	Stream    bool             `json:"stream"`
	MaxTokens int              `json:"max_tokens"`
	Priority  int              `json:"priority,omitempty"`
	// StreamOptions request the usage, which includes the cached tokens.
	StreamOptions streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// callBody is the body of a service call.
type callBody struct {
	Echo string `json:"echo"`
	Rest string `json:"rest"`
}

// body returns a request's path and body.
func (p *prompts) body(a *arrival) (path string, body []byte, err error) {
	if call := a.request.Call; call != nil {
		body, err = json.Marshal(callBody{Echo: a.token, Rest: Text(a.token, call.Tokens)})
		return "/v1/services/" + call.Service + "/" + call.Path, body, err
	}
	chat := a.request.Chat
	body, err = json.Marshal(chatBody{
		Model:     chat.Model,
		Messages:  p.messages(a),
		Stream:    true,
		MaxTokens: a.maxTokens,
		Priority:  chat.Priority,

		StreamOptions: streamOptions{IncludeUsage: true},
	})
	return "/v1/chat/completions", body, err
}
