package load

import (
	"encoding/json"
	"sync"

	"skylarklead/internal/prefix"
)

// prompts makes requests' bodies out of arrivals. Shared texts are made once.
type prompts struct {
	mu    sync.Mutex
	texts map[Instruction]string
}

func newPrompts() *prompts { return &prompts{texts: map[Instruction]string{}} }

func (p *prompts) text(seed string, tokens int) string {
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

// messages returns what the caller sends: charter, case, question.
func (p *prompts) messages(a *arrival) []prefix.Message {
	chat := a.request.Chat
	var messages []prefix.Message
	if a.charterSeed != "" {
		messages = append(messages, prefix.Message{Role: "system", Content: p.text(a.charterSeed, chat.Charter.Tokens)})
	}
	if a.caseSeed != "" {
		messages = append(messages, prefix.Message{Role: "user", Content: p.text(a.caseSeed, chat.Case.Tokens)})
	}
	question := "echo:" + a.token + " " + Text(a.token, chat.QuestionTokens)
	return append(messages, prefix.Message{Role: "user", Content: question})
}

// instructions returns what the router puts before the messages.
func (p *prompts) instructions(o *Organisation) []prefix.Message {
	var messages []prefix.Message
	for _, i := range o.Instructions {
		messages = append(messages, prefix.Message{Role: "system", Content: p.text(i.Seed, i.Tokens)})
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
	// StreamOptions ask for the usage, which tells the cached tokens.
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
