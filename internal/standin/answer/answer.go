// Package answer defines the text that the stand-in engine generates. It is a
// deterministic function of the prompt, so that anyone who has the prompt can
// check that an answer is complete, in order and not that of another request.
package answer

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/prefix"
)

const (
	// TokenBytes is the length of every token except an echoed first one.
	TokenBytes = 5
	// EchoMarker in the last user message makes the word that follows it, in
	// brackets, the first token of the answer.
	EchoMarker = "echo:"
)

// Answer generates the unbounded token sequence that answers one prompt.
type Answer struct {
	seed       uint64
	firstToken string
}

// New returns the answer to a prompt. The messages must be those that the engine
// receives, including an organisation's standing instructions.
func New(messages []prefix.Message) Answer {
	a := Answer{seed: xxhash.Sum64(prefix.Flatten(messages))}
	a.firstToken = a.hashedToken(0)
	if echoed := echoedWord(messages); echoed != "" {
		a.firstToken = "[" + echoed + "] "
	}
	return a
}

// Continue handles a request whose last message is a partial answer to be
// continued. It returns the answer to the prompt without that message, and how
// many whole tokens the partial answer contains.
func Continue(messages []prefix.Message) (a Answer, generated int) {
	if len(messages) == 0 {
		return New(nil), 0
	}
	last := len(messages) - 1
	a = New(messages[:last])
	return a, a.wholeTokens(len(messages[last].Content))
}

// Token returns the text of token i.
func (a Answer) Token(i int) string {
	if i == 0 {
		return a.firstToken
	}
	return a.hashedToken(i)
}

// Text returns the concatenated tokens in [from, to).
func (a Answer) Text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(a.Token(i))
	}
	return b.String()
}

// Expected returns the first tokens of the answer to a prompt, concatenated.
func Expected(messages []prefix.Message, tokens int) string {
	return New(messages).Text(0, tokens)
}

func (a Answer) hashedToken(i int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], a.seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(i))
	return fmt.Sprintf("%04x ", uint16(xxhash.Sum64(key[:])))
}

func (a Answer) wholeTokens(bytes int) int {
	if bytes < len(a.firstToken) {
		return 0
	}
	return 1 + (bytes-len(a.firstToken))/TokenBytes
}

func echoedWord(messages []prefix.Message) string {
	for i := len(messages) - 1; i >= 0; i-- {
		if messages[i].Role != "user" {
			continue
		}
		_, after, found := strings.Cut(messages[i].Content, EchoMarker)
		if !found {
			return ""
		}
		word, _, _ := strings.Cut(after, " ")
		word, _, _ = strings.Cut(word, "\n")
		return word
	}
	return ""
}
