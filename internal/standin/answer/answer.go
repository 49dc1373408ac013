// Package answer is the text that the stand-in engine generates: a fixed
// function of the prompt, so that whoever holds the prompt can check that an
// answer is whole, in order and its own.
package answer

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/prefix"
)

const (
	// TokenBytes is the length of every token but an echoed first one.
	TokenBytes = 5
	// EchoMarker in the last user message makes the word after it the answer's
	// first token, in brackets.
	EchoMarker = "echo:"
)

// Answer is the whole endless answer to one prompt.
type Answer struct {
	seed  uint64
	first string
}

// New returns the answer to a prompt. The messages are those that the engine
// sees, standing instructions included.
func New(messages []prefix.Message) Answer {
	a := Answer{seed: xxhash.Sum64(prefix.Flatten(messages))}
	a.first = a.plain(0)
	if word := echoWord(messages); word != "" {
		a.first = "[" + word + "] "
	}
	return a
}

// Continue splits a request that goes on from a partial answer: the answer to
// the prompt without its last message, and the number of tokens that the
// partial answer holds. A partial answer that ends inside a token counts as if
// it ended before it.
func Continue(messages []prefix.Message) (a Answer, have int) {
	if len(messages) == 0 {
		return New(nil), 0
	}
	last := len(messages) - 1
	a = New(messages[:last])
	return a, a.count(len(messages[last].Content))
}

// Token returns the text of token i.
func (a Answer) Token(i int) string {
	if i == 0 {
		return a.first
	}
	return a.plain(i)
}

// Text returns tokens from up to, but without, to.
func (a Answer) Text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(a.Token(i))
	}
	return b.String()
}

// Expected returns the first tokens of the answer to a prompt.
func Expected(messages []prefix.Message, tokens int) string {
	return New(messages).Text(0, tokens)
}

func (a Answer) plain(i int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], a.seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(i))
	return fmt.Sprintf("%04x ", uint16(xxhash.Sum64(key[:])))
}

func (a Answer) count(bytes int) int {
	if bytes < len(a.first) {
		return 0
	}
	return 1 + (bytes-len(a.first))/TokenBytes
}

func echoWord(messages []prefix.Message) string {
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
