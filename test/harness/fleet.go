package harness

import (
	"fmt"
	"strings"

	"skylarklead/internal/prefix"
	"skylarklead/internal/standin/answer"
)

// Organisation is a customer of a cluster.
type Organisation struct {
	ID, Key      string
	Instructions []string
}

// The organisations of a cluster that doesn't name its own.
var (
	Foodbank = NewOrganisation("foodbank", "the rules of Huon Ledger", "the foodbank's charter")
	Hospice  = NewOrganisation("hospice", "the rules of Huon Ledger", "the hospice's charter")
)

// instructionBytes is the length of each of an organisation's instructions, some
// 1,000 tokens.
const instructionBytes = 4 << 10

// NewOrganisation returns an organisation with long standing instructions, one
// for each subject.
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

// InstructionTokens is how many tokens of o's instructions an engine can serve
// from cache: the whole blocks.
func (o Organisation) InstructionTokens() int {
	text := prefix.Flatten(o.system())
	return len(text) / prefix.BlockBytes * prefix.BlockTokens
}

func (o Organisation) system() []prefix.Message {
	var messages []prefix.Message
	for _, text := range o.Instructions {
		messages = append(messages, prefix.Message{Role: "system", Content: text})
	}
	return messages
}

// Ask returns a chat of one question. Its answer begins with the token, in
// brackets, and depends on every byte of the prompt.
func Ask(token string, maxTokens int) Chat {
	return Chat{
		Model:     Model,
		MaxTokens: maxTokens,
		Messages:  []prefix.Message{{Role: "user", Content: "How do the two ledgers reconcile? " + answer.EchoMarker + token}},
	}
}

// Expected returns the whole answer that o is to get to chat.
func (o Organisation) Expected(chat Chat) string {
	return answer.Expected(append(o.system(), chat.Messages...), chat.MaxTokens)
}

// Check returns what is wrong with an answer, or nil: every byte in order with
// an explicit end, or the beginning of it with an explicit error.
func (o Organisation) Check(chat Chat, a Answer) error {
	want := o.Expected(chat)
	switch {
	case a.Lost != nil:
		return fmt.Errorf("no explicit end: %v", a)
	case a.Failure != nil && !strings.HasPrefix(want, a.Text):
		return fmt.Errorf("not the beginning of its own answer: %v", a)
	case a.Failure == nil && !a.Ended:
		return fmt.Errorf("neither end nor error: %v", a)
	case a.Failure == nil && a.Text != want:
		return fmt.Errorf("not its own whole answer (%d bytes): %v", len(want), a)
	}
	return nil
}

// Whole is Check of an answer that may not fail.
func (o Organisation) Whole(chat Chat, a Answer) error {
	if err := o.Check(chat, a); err != nil {
		return err
	}
	if a.Failure != nil {
		return fmt.Errorf("refused or cut: %v", a)
	}
	return nil
}
