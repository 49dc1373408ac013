package harness

import (
	"fmt"
	"strings"

	"skylarklead/internal/prefix"
	"skylarklead/internal/standin/answer"
)

// Organisation is an organisation with its API key and its instructions, which are
// the system messages of its prompts.
type Organisation struct {
	ID, Key      string
	Instructions []string
}

// The organisations of a cluster whose Options name none.
var (
	Foodbank = NewOrganisation("foodbank", "the rules of Huon Ledger", "the foodbank's charter")
	Hospice  = NewOrganisation("hospice", "the rules of Huon Ledger", "the hospice's charter")
)

// instructionBytes is the minimum length of each instruction text, about 1,000
// tokens.
const instructionBytes = 4 << 10

// NewOrganisation returns an organisation with a long instruction text for each
// subject.
func NewOrganisation(id string, subjects ...string) Organisation {
	o := Organisation{ID: id, Key: "key-of-" + id}
	for _, subject := range subjects {
		o.Instructions = append(o.Instructions, longText(subject))
	}
	return o
}

func longText(subject string) string {
	var b strings.Builder
	for i := 0; b.Len() < instructionBytes; i++ {
		fmt.Fprintf(&b, "Section %d of %s. ", i, subject)
	}
	return b.String()
}

// InstructionTokens returns how many tokens of o's instructions an engine can serve
// from cache: those of full blocks.
func (o Organisation) InstructionTokens() int {
	text := prefix.Flatten(o.systemMessages())
	return len(text) / prefix.BlockBytes * prefix.BlockTokens
}

func (o Organisation) systemMessages() []prefix.Message {
	var messages []prefix.Message
	for _, text := range o.Instructions {
		messages = append(messages, prefix.Message{Role: "system", Content: text})
	}
	return messages
}

// NewChat returns a chat with one question. Its answer begins with the token in
// brackets and depends on every byte of the prompt, so that answers to different
// prompts can be told apart.
func NewChat(token string, maxTokens int) Chat {
	return Chat{
		Model:     Model,
		MaxTokens: maxTokens,
		Messages:  []prefix.Message{{Role: "user", Content: "How do the two ledgers reconcile? " + answer.EchoMarker + token}},
	}
}

// Expected returns the complete answer that o must get to chat.
func (o Organisation) Expected(chat Chat) string {
	return answer.Expected(append(o.systemMessages(), chat.Messages...), chat.MaxTokens)
}

// CheckAnswer returns an error unless a is the complete answer to chat with an
// explicit end, or a prefix of it with an explicit error.
func (o Organisation) CheckAnswer(chat Chat, a Answer) error {
	want := o.Expected(chat)
	switch {
	case a.TransportErr != nil:
		return fmt.Errorf("no explicit end: %v", a)
	case a.Failure != nil && !strings.HasPrefix(want, a.Text):
		return fmt.Errorf("text before the error is not a prefix of the expected answer: %v", a)
	case a.Failure == nil && !a.Ended:
		return fmt.Errorf("neither end nor error: %v", a)
	case a.Failure == nil && a.Text != want:
		return fmt.Errorf("not the expected answer of %d bytes: %v", len(want), a)
	}
	return nil
}

// CheckComplete is CheckAnswer that also rejects an explicit error.
func (o Organisation) CheckComplete(chat Chat, a Answer) error {
	if err := o.CheckAnswer(chat, a); err != nil {
		return err
	}
	if a.Failure != nil {
		return fmt.Errorf("refused or ended by an error: %v", a)
	}
	return nil
}
